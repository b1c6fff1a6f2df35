package io.hickorydrift.core.limit;

/**
 * Virtual scheduling of the callers that were refused: each is told to return when the tokens of
 * those before it have been added. Load pattern: callers beyond a rate are all told the same short
 * delay, return together, are refused again and use up their attempts.
 *
 * <p>Urgent callers are scheduled behind urgent ones only, because they are served before the
 * others. Thread safety: confined to one thread.
 */
final class ReturnSchedule {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MS = 1e6;
  // A caller that is told to come back at once finds the same queue.
  private static final long MIN_RETRY_AFTER_MS = 20;
  // Few callers still need an answer after 5 s; those that gave up leave their turns unused.
  private static final long MAX_RETRY_AFTER_MS = 5_000;

  private boolean started;
  private long lastUrgentNanos;
  private long lastNanos;

  /**
   * Returns the delay in milliseconds that the next refused caller is told.
   *
   * @param queued operations that wait and are served before the caller
   * @param tokensPerSecond tokens that are expected
   */
  long nextMs(boolean urgent, int queued, double tokensPerSecond, long nowNanos) {
    if (!started) {
      started = true;
      lastUrgentNanos = nowNanos;
      lastNanos = nowNanos;
    }
    long queueNanos = (long) (queued * NANOS_PER_SECOND / tokensPerSecond);
    long turnNanos = (long) (NANOS_PER_SECOND / tokensPerSecond);
    long earliestNanos = nowNanos + queueNanos;
    long latestNanos = nowNanos + (long) (MAX_RETRY_AFTER_MS * NANOS_PER_MS);
    // Times of the monotonic clock are compared by their difference, since it may overflow.
    if (lastNanos - earliestNanos < 0) {
      lastNanos = earliestNanos;
    }
    lastNanos += Math.min(turnNanos, Math.max(0, latestNanos - lastNanos));
    if (!urgent) {
      return delayMs(lastNanos - nowNanos);
    }
    if (lastUrgentNanos - earliestNanos < 0) {
      lastUrgentNanos = earliestNanos;
    }
    lastUrgentNanos += Math.min(turnNanos, Math.max(0, latestNanos - lastUrgentNanos));
    return delayMs(lastUrgentNanos - nowNanos);
  }

  private static long delayMs(long nanos) {
    long ms = (long) Math.ceil(nanos / NANOS_PER_MS);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
  }
}
