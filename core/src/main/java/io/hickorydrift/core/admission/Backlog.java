package io.hickorydrift.core.admission;

/**
 * What is before work that arrives.
 *
 * <p>Thread safety: immutable.
 *
 * @param queued statements that wait
 * @param queuedNanos slot time of what waits and of what runs
 * @param ownQueuedNanos the part of it that waits for the same organisation; all of it, where the
 *     line is not shared between organisations
 * @param organisations for which work waits, this one included
 * @param slots statements that run at once
 */
public record Backlog(
    int queued, long queuedNanos, long ownQueuedNanos, int organisations, int slots) {
  /**
   * Returns when {@code arrival} would be done, in nanoseconds from now. Where slot time is shared
   * equally, the others do no more before it than its own organisation does.
   */
  public double completionNanos(Arrival arrival) {
    double beforeNanos = Math.min(queuedNanos, (double) ownQueuedNanos * organisations);
    return beforeNanos / Math.max(1, slots) + arrival.serviceNanos();
  }

  /** Returns how long all that is queued takes, in nanoseconds. */
  public double drainNanos() {
    return (double) queuedNanos / Math.max(1, slots);
  }
}
