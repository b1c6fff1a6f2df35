package io.hickorydrift.core.admission;

/**
 * Work that is queued or running when new work arrives.
 *
 * <p>Thread safety: immutable.
 *
 * @param queued number of queued statements
 * @param queuedNanos slot time of the queued and the running statements
 * @param ownQueuedNanos part of {@code queuedNanos} that belongs to the arrival's organisation; all
 *     of it if the queue is not shared fairly between organisations
 * @param organisations number of organisations with queued work, including the arrival's
 * @param slots number of statements that run concurrently
 */
public record Backlog(
    int queued, long queuedNanos, long ownQueuedNanos, int organisations, int slots) {
  /**
   * Returns the expected time until {@code arrival} is completed, in nanoseconds. With slot time
   * shared equally, each other organisation gets at most as much of it before the arrival as the
   * arrival's own organisation.
   */
  public double completionNanos(Arrival arrival) {
    double aheadNanos = Math.min(queuedNanos, (double) ownQueuedNanos * organisations);
    return aheadNanos / Math.max(1, slots) + arrival.serviceNanos();
  }

  /** Returns the time that the whole backlog takes to drain, in nanoseconds. */
  public double drainNanos() {
    return (double) queuedNanos / Math.max(1, slots);
  }
}
