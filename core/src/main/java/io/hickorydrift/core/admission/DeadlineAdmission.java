package io.hickorydrift.core.admission;

/**
 * Rejects work on arrival if it is not expected to complete by its deadline. Load pattern: a burst
 * of more work than the slots can do within a deadline.
 *
 * <p>Thread safety: immutable.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
  // Service times are estimates of the mean, so a queue may take longer than expected.
  private static final double DEADLINE_FRACTION = 0.9;

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    return backlog.completionNanos(arrival) <= arrival.deadlineLeftNanos() * DEADLINE_FRACTION;
  }
}
