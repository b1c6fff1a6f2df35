package io.hickorydrift.core.scheduling;

import io.hickorydrift.core.placement.Rendezvous;

/** The refusals of a replayed target, and the delays that refused callers are told. */
final class ReplayedRefusals {
  static final long TIMEOUT_NANOS = 1_500_000_000L;
  // Delay after a wait in vain, as in HoldPolicy.
  private static final long MIN_RETRY_AFTER_WAIT_MS = 100;

  private final ReplayedClock clock;
  private final WaitPrediction prediction = new WaitPrediction();
  final RecoveryPhase recovery = new RecoveryPhase();
  private final RefusedReturns returns = new RefusedReturns();

  ReplayedRefusals(ReplayedClock clock) {
    this.clock = clock;
  }

  /**
   * Returns whether {@code request} is refused on arrival, and sets the delay of its caller if so.
   *
   * @param ahead requests that are served before it
   * @param queued whether work of its priority or a higher one waits
   */
  boolean refuses(ReplayedRequest request, WaitingRequest waiting, int ahead, boolean queued) {
    recovery.recordWaiting(clock.nowNanos());
    if (recovery.isActive(clock.nowNanos())) {
      return false;
    }
    long retryAfterMs =
        ImmediateRefusal.retryAfterMs(
            waiting,
            prediction.waitNanos(ahead, clock.nowNanos()),
            TIMEOUT_NANOS,
            queued,
            hash(request),
            clock.nowNanos());
    if (retryAfterMs == ImmediateRefusal.WAIT) {
      return false;
    }
    setDelay(request, retryAfterMs);
    return true;
  }

  /** Sets the delay of the caller of {@code request}, which waited in vain. */
  void waitedInVain(ReplayedRequest request) {
    setDelay(request, MIN_RETRY_AFTER_WAIT_MS);
  }

  private void setDelay(ReplayedRequest request, long minDelayMs) {
    request.retryNanos =
        Replay.MS
            * returns.delayMs(
                request.priority,
                minDelayMs,
                TIMEOUT_NANOS / Replay.MS,
                prediction.intervalNanos(),
                hash(request),
                clock.nowNanos());
  }

  private static double hash(ReplayedRequest request) {
    return Rendezvous.unitHash(String.valueOf(request.arrivalNanos), "retry");
  }

  void recordServed(boolean othersWait) {
    prediction.recordServed(othersWait, clock.nowNanos());
    recovery.recordServed(othersWait, clock.nowNanos());
  }
}
