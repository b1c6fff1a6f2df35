package io.hickorydrift.core.promotion;

/**
 * Expects when a group without a usable primary has one again, from how long earlier changes took.
 * Load pattern: all writers of a group wait at once, for longer than any of them can; whoever
 * cannot be served in time is told so on arrival, and whoever can waits.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class PrimaryRecoveryEstimator {
  private static final double SMOOTHING = 0.5;
  private static final long NANOS_PER_MS = 1_000_000L;
  // A change that is over in no time is no change, and one that takes longer is stuck.
  private static final long MIN_MS = 200;
  private static final long MAX_MS = 5_000;
  private static final long FIRST_LEAVING_MS = 1_400;
  private static final long FIRST_DEAD_MS = 2_500;

  private double leavingMs = FIRST_LEAVING_MS;
  private double deadMs = FIRST_DEAD_MS;
  private long sinceNanos;
  private boolean without;
  private boolean leaving;

  /** The group has a primary that can be used. */
  public void recordAvailable(long nowNanos) {
    if (!without) {
      return;
    }
    without = false;
    double tookMs =
        Math.max(MIN_MS, Math.min(MAX_MS, (double) (nowNanos - sinceNanos) / NANOS_PER_MS));
    if (leaving) {
      leavingMs += SMOOTHING * (tookMs - leavingMs);
    } else {
      deadMs += SMOOTHING * (tookMs - deadMs);
    }
  }

  /** The group's primary leaves, or is dead or absent. */
  public void recordUnavailable(boolean primaryLeaves, long nowNanos) {
    if (!without) {
      without = true;
      sinceNanos = nowNanos;
      leaving = primaryLeaves;
    }
  }

  /** Returns in how many milliseconds a primary is expected; 0 if there is one. */
  public long expectedRecoveryMs(long nowNanos) {
    if (!without) {
      return 0;
    }
    double expectedMs = leaving ? leavingMs : deadMs;
    double leftMs = expectedMs - (double) (nowNanos - sinceNanos) / NANOS_PER_MS;
    // Overdue changes are about as likely to end soon as not.
    return (long) Math.max(MIN_MS, leftMs);
  }
}
