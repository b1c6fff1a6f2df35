package io.hickorydrift.core.scheduling;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Virtual scheduling of the callers that a target's home refused: the k-th of those that have not
 * returned yet is told to wait until the target can have served k statements. Load pattern: a home
 * restarts, a thousand callers reconnect at once, and all that are refused are told nearly the same
 * delay, so that they return together and are refused again.
 *
 * <p>Callers of a priority are scheduled behind those of the same or a higher one, which are served
 * before them. A caller has no turn if it would come after 0.45 of its statement timeout. Such
 * callers are told delays that are spread evenly over the rest of the timeout: the same delay for
 * all of them would be a second wave.
 *
 * <p>Invariant: a delay is never below the minimum that the caller of this class gives. It is at
 * most {@link #MAX_RETRY_MS} and at most the statement timeout, unless that minimum is longer.
 * Thread safety: confined to one thread.
 */
public final class RefusedReturns {
  /** Longest delay in milliseconds: few callers still need an answer after it. */
  public static final long MAX_RETRY_MS = 2_000;

  // Leaves a new attempt more than half. With half, those without a turn would have half of the
  // timeout: of a thousand with 800 ms, more than a fifth would return within 100 ms.
  private static final double MAX_TIMEOUT_SHARE_OF_TURN = 0.45;
  // Without a measured rate, callers return within one to three times the minimum delay.
  private static final double SPREAD_WITHOUT_RATE = 2;
  // Multiples of the golden ratio, modulo 1, are spread evenly for any number of them. Hashes of
  // statement ids are not: sessions number their statements alike.
  private static final double SPREAD_STEP = 0.6180339887498949;

  // The last turn that was given, by priority.
  private final TreeMap<Integer, Long> lastTurnNanos = new TreeMap<>();
  private long refused;

  /**
   * Returns the delay in milliseconds that a refused caller is told, and counts the caller.
   *
   * @param priority priority of its route; 0 is the highest
   * @param minDelayMs minimum delay, which does not depend on the other callers
   * @param timeoutMs its statement timeout
   * @param intervalNanos measured time between two services at the target; 0 if not known
   * @param unitHash hash of the statement in [0, 1)
   */
  public long delayMs(
      int priority,
      long minDelayMs,
      long timeoutMs,
      long intervalNanos,
      double unitHash,
      long nowNanos) {
    double fraction = (unitHash + refused++ * SPREAD_STEP) % 1;
    long latestTurnMs = Math.min(MAX_RETRY_MS, (long) (timeoutMs * MAX_TIMEOUT_SHARE_OF_TURN));
    if (intervalNanos <= 0) {
      long spreadMs = Math.round(minDelayMs * (1 + SPREAD_WITHOUT_RATE * fraction));
      return Math.max(minDelayMs, Math.min(latestTurnMs, spreadMs));
    }
    long turnMs = takeTurn(priority, intervalNanos, latestTurnMs, nowNanos);
    if (turnMs <= latestTurnMs) {
      return Math.max(minDelayMs, turnMs);
    }
    long latestMs = Math.min(MAX_RETRY_MS, timeoutMs);
    long earliestMs = (long) (latestMs * MAX_TIMEOUT_SHARE_OF_TURN);
    return Math.max(minDelayMs, earliestMs + (long) ((latestMs - earliestMs) * fraction));
  }

  /** Returns the time until the next turn; it is taken only if it comes within the limit. */
  private long takeTurn(int priority, long intervalNanos, long latestTurnMs, long nowNanos) {
    Map.Entry<Integer, Long> before = lastTurnNanos.floorEntry(priority);
    lastTurnNanos.putIfAbsent(priority, before == null ? nowNanos : before.getValue());
    long turnNanos = later(lastTurnNanos.get(priority), nowNanos) + intervalNanos;
    long turnMs = TimeUnit.NANOSECONDS.toMillis(turnNanos - nowNanos);
    if (turnMs <= latestTurnMs) {
      lastTurnNanos
          .tailMap(priority, true)
          .replaceAll((each, last) -> later(last, nowNanos) + intervalNanos);
    }
    return turnMs;
  }

  // Times of the monotonic clock are compared by their difference, since it may overflow.
  private static long later(long nanos, long otherNanos) {
    return nanos - otherNanos > 0 ? nanos : otherNanos;
  }
}
