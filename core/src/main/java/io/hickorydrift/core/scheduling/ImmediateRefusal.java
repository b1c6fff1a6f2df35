package io.hickorydrift.core.scheduling;

/**
 * Decides whether a statement is refused on arrival, because it would wait for too long. Load
 * pattern: more work than the target can do for longer than a burst. Statements that end too late
 * take the time of those that could end in time, and their callers learn too late that they have to
 * retry.
 *
 * <p>Thread safety: stateless.
 */
public final class ImmediateRefusal {
  /** Result of {@link #retryAfterMs}: the statement waits. */
  public static final long WAIT = -1;

  // A caller that returns while the backlog is still long only adds to it.
  private static final double RETRY_WAIT_OF_OBJECTIVE = 0.25;
  private static final double MIN_SPREAD = 0.75;
  private static final double SPREAD = 0.5;
  private static final long MIN_RETRY_MS = 20;
  private static final double NANOS_PER_MS = 1e6;

  private ImmediateRefusal() {}

  /**
   * Returns {@link #WAIT}, or the delay after which a refused caller should retry.
   *
   * @param request the statement, which is refused in any case when it has waited until its
   *     deadline
   * @param waitNanos its predicted wait
   * @param timeoutNanos its statement timeout, from {@link WaitingRequest#receivedNanos}
   * @param queuedAtItsPriority whether work of its priority or a higher one waits
   * @param unitHash hash of the statement in [0, 1), which spreads the retries of many callers
   */
  public static long retryAfterMs(
      WaitingRequest request,
      long waitNanos,
      long timeoutNanos,
      boolean queuedAtItsPriority,
      double unitHash,
      long nowNanos) {
    long leftNanos = request.receivedNanos() + timeoutNanos - nowNanos;
    boolean tooLate =
        waitNanos + request.serviceNanos() > leftNanos
            || waitNanos > request.deadlineNanos() - nowNanos;
    boolean pastObjective =
        queuedAtItsPriority && request.objectiveNanos() > 0 && waitNanos > request.objectiveNanos();
    if (!tooLate && !pastObjective) {
      return WAIT;
    }
    double drainNanos = waitNanos - RETRY_WAIT_OF_OBJECTIVE * request.objectiveNanos();
    double spread = MIN_SPREAD + SPREAD * unitHash;
    return Math.max(MIN_RETRY_MS, Math.round(drainNanos * spread / NANOS_PER_MS));
  }
}
