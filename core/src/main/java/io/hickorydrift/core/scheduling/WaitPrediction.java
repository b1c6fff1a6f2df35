package io.hickorydrift.core.scheduling;

/**
 * Predicts how long a request waits at the home, from the time that the requests before it took to
 * be served one after another. Load pattern: a backlog in which transactions hold their connections
 * for several statements, so that the number of slots and the service time alone say little.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class WaitPrediction {
  private static final double SMOOTHING_FACTOR = 0.05;
  // A single long pause, such as that of a hung target, must not make all waits look hopeless.
  private static final long MAX_INTERVAL_NANOS = 200_000_000L;

  private double intervalNanos;
  private long lastServedNanos;
  private boolean othersWaited;

  /**
   * Records that a waiting request was served.
   *
   * @param othersWait whether further requests wait, so that the time until the next one counts
   */
  public void recordServed(boolean othersWait, long nowNanos) {
    if (othersWaited) {
      long sample = Math.min(MAX_INTERVAL_NANOS, nowNanos - lastServedNanos);
      double factor = intervalNanos == 0 ? 1 : SMOOTHING_FACTOR;
      intervalNanos += factor * (sample - intervalNanos);
    }
    othersWaited = othersWait;
    lastServedNanos = nowNanos;
  }

  /** Returns the average time between two services while others waited; 0 if not known. */
  public long intervalNanos() {
    return (long) intervalNanos;
  }

  /**
   * Returns the predicted wait behind {@code ahead} other requests; 0 if nothing is known. While a
   * target serves nothing, the time since the last service counts as the interval.
   */
  public long waitNanos(int ahead, long nowNanos) {
    double expectedNanos = intervalNanos;
    if (othersWaited && intervalNanos > 0) {
      long sinceNanos = Math.min(MAX_INTERVAL_NANOS, nowNanos - lastServedNanos);
      expectedNanos = Math.max(intervalNanos, sinceNanos);
    }
    return (long) (expectedNanos * (ahead + 1));
  }
}
