package io.hickorydrift.core.admission;

/**
 * Admits work while fewer than a fixed number of statements are queued. The baseline for
 * comparisons: it takes neither the queueing delay nor the caller's deadline into account.
 *
 * <p>Thread safety: immutable.
 */
public final class QueueLengthAdmission implements AdmissionPolicy {
  private final int maxQueued;

  /** Creates a policy that allows {@code maxQueued} queued statements. */
  public QueueLengthAdmission(int maxQueued) {
    this.maxQueued = maxQueued;
  }

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    return backlog.queued() < maxQueued;
  }
}
