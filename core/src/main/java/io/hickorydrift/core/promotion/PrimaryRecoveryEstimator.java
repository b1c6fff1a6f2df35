package io.hickorydrift.core.promotion;

/**
 * Estimates when a group without a usable primary will have one again, from the duration of earlier
 * outages. Load pattern: all writers of a group wait at once, for longer than any of them can.
 * Requests that cannot be served in time are rejected on arrival; the others wait.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class PrimaryRecoveryEstimator {
  private static final double SMOOTHING_FACTOR = 0.5;
  private static final long NANOS_PER_MS = 1_000_000L;
  // Bounds on a recorded outage: in a shorter one the primary was not replaced, in a longer one its
  // replacement has stalled.
  private static final long MIN_RECOVERY_MS = 200;
  private static final long MAX_RECOVERY_MS = 5_000;
  private static final long INITIAL_PLANNED_RECOVERY_MS = 1_400;
  private static final long INITIAL_FAILURE_RECOVERY_MS = 2_500;

  private double plannedRecoveryMs = INITIAL_PLANNED_RECOVERY_MS;
  private double failureRecoveryMs = INITIAL_FAILURE_RECOVERY_MS;
  private long unavailableSinceNanos;
  private boolean unavailable;
  private boolean planned;

  /** Records that the group has a usable primary. */
  public void recordAvailable(long nowNanos) {
    if (!unavailable) {
      return;
    }
    unavailable = false;
    double outageMs =
        Math.max(
            MIN_RECOVERY_MS,
            Math.min(MAX_RECOVERY_MS, (double) (nowNanos - unavailableSinceNanos) / NANOS_PER_MS));
    if (planned) {
      plannedRecoveryMs += SMOOTHING_FACTOR * (outageMs - plannedRecoveryMs);
    } else {
      failureRecoveryMs += SMOOTHING_FACTOR * (outageMs - failureRecoveryMs);
    }
  }

  /** Records that the group's primary is leaving, or that it is dead or absent. */
  public void recordUnavailable(boolean primaryLeaving, long nowNanos) {
    if (!unavailable) {
      unavailable = true;
      unavailableSinceNanos = nowNanos;
      planned = primaryLeaving;
    }
  }

  /**
   * Returns the expected time until a primary is usable, for a caller that has just found the
   * present one unusable.
   */
  public long expectedRecoveryAfterFailureMs(long nowNanos) {
    return unavailable ? expectedRecoveryMs(nowNanos) : (long) failureRecoveryMs;
  }

  /** Returns the expected time until a primary is usable; 0 if there is one. */
  public long expectedRecoveryMs(long nowNanos) {
    if (!unavailable) {
      return 0;
    }
    double expectedMs = planned ? plannedRecoveryMs : failureRecoveryMs;
    double leftMs = expectedMs - (double) (nowNanos - unavailableSinceNanos) / NANOS_PER_MS;
    // An overdue change is about as likely as not to end soon.
    return (long) Math.max(MIN_RECOVERY_MS, leftMs);
  }
}
