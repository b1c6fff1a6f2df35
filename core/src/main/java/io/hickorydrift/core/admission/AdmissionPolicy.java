package io.hickorydrift.core.admission;

/** Decides whether arriving work is admitted. Implementations are confined to one thread. */
public interface AdmissionPolicy {
  /** Returns whether to admit {@code arrival}, given the work in {@code backlog} ahead of it. */
  boolean admits(Arrival arrival, Backlog backlog, long nowNanos);
}
