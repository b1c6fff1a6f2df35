package io.hickorydrift.core.admission;

/** Whether work that arrives is let in. Implementations are confined to one thread. */
public interface AdmissionPolicy {
  /** Returns whether to let {@code arrival} in behind {@code backlog}. */
  boolean admits(Arrival arrival, Backlog backlog, long nowNanos);
}
