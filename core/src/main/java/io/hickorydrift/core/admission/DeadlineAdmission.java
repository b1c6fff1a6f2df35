package io.hickorydrift.core.admission;

/**
 * Refuses on arrival what cannot be done by its deadline. Load pattern: a burst of more than slots
 * can do within a deadline.
 *
 * <p>Thread safety: immutable.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
  // Estimates of work are means, so that a queue may take longer than forecast.
  private static final double MARGIN = 0.9;

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    return backlog.completionNanos(arrival) <= arrival.deadlineLeftNanos() * MARGIN;
  }
}
