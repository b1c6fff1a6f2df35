package io.hickorydrift.core.admission;

/**
 * As {@link DeadlineAdmission}, but once the queue has been longer than the shortest aim for a
 * while, only what finds a shorter queue is let in. Load pattern: more arrives than slots can do
 * for longer than a deadline. A queue that stands makes everything late and does no more work than
 * a short one; and if each kind fills it up to its own aim, kinds with short aims get nothing.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class StandingQueueAdmission implements AdmissionPolicy {
  // A burst that is over by then has passed at no one's cost.
  private static final long BURST_NANOS = 150_000_000L;
  private static final double MARGIN = 0.9;
  // The shortest aim is forgotten over some hundred arrivals of others.
  private static final double FORGETTING = 1.002;

  private final AdmissionPolicy burst = new DeadlineAdmission();
  private double shortestAimNanos = Double.MAX_VALUE;
  private boolean late;
  private long lateSinceNanos;

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    shortestAimNanos *= FORGETTING;
    if (arrival.objectiveLeftNanos() > 0) {
      shortestAimNanos = Math.min(shortestAimNanos, arrival.objectiveLeftNanos());
    }
    double targetNanos = shortestAimNanos * MARGIN;
    // All of the queue counts here: what a small organisation finds says nothing of a flood.
    boolean stands = backlog.drainNanos() + arrival.serviceNanos() > targetNanos;
    if (stands && !late) {
      lateSinceNanos = nowNanos;
    }
    late = stands;
    if (!late || nowNanos - lateSinceNanos < BURST_NANOS) {
      return burst.admits(arrival, backlog, nowNanos);
    }
    return backlog.completionNanos(arrival) <= targetNanos;
  }
}
