package io.hickorydrift.core.admission;

/**
 * Admits work as {@link DeadlineAdmission} does, until the queueing delay has exceeded the shortest
 * latency objective for longer than a burst. While such a standing queue lasts, it admits only work
 * that is expected to complete within that objective. Load pattern: arrivals exceed the capacity of
 * the slots for longer than a deadline. A standing queue delays all work without raising
 * throughput, and if each kind of request could fill it up to its own objective, kinds with short
 * objectives would be starved.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class StandingQueueAdmission implements AdmissionPolicy {
  // A burst that drains within this time has harmed no other request.
  private static final long MAX_BURST_NANOS = 150_000_000L;
  private static final double OBJECTIVE_FRACTION = 0.9;
  // Growth per arrival: the shortest objective expires after some hundred arrivals of other kinds.
  private static final double OBJECTIVE_GROWTH = 1.002;

  private final AdmissionPolicy burstPolicy = new DeadlineAdmission();
  private double shortestObjectiveNanos = Double.MAX_VALUE;
  private boolean standing;
  private long standingSinceNanos;

  @Override
  public boolean admits(Arrival arrival, Backlog backlog, long nowNanos) {
    shortestObjectiveNanos *= OBJECTIVE_GROWTH;
    if (arrival.objectiveLeftNanos() > 0) {
      shortestObjectiveNanos = Math.min(shortestObjectiveNanos, arrival.objectiveLeftNanos());
    }
    double targetNanos = shortestObjectiveNanos * OBJECTIVE_FRACTION;
    // The whole queue counts: the delay of an organisation with little load does not show that
    // another one floods the queue.
    boolean exceeds = backlog.drainNanos() + arrival.serviceNanos() > targetNanos;
    if (exceeds && !standing) {
      standingSinceNanos = nowNanos;
    }
    standing = exceeds;
    if (!standing || nowNanos - standingSinceNanos < MAX_BURST_NANOS) {
      return burstPolicy.admits(arrival, backlog, nowNanos);
    }
    return backlog.completionNanos(arrival) <= targetNanos;
  }
}
