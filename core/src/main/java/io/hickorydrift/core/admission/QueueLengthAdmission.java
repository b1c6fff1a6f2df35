package io.hickorydrift.core.admission;

/**
 * Lets work in until a fixed number waits. The baseline: it neither knows how long a queue takes
 * nor how long a caller will wait.
 *
 * <p>Thread safety: immutable.
 */
public final class QueueLengthAdmission implements AdmissionPolicy {
  private final int limit;

  /** Lets {@code limit} statements wait. */
  public QueueLengthAdmission(int limit) {
    this.limit = limit;
  }

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    return backlog.queued() < limit;
  }
}
