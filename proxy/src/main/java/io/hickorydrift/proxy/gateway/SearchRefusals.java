package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.Rendezvous;

/**
 * The refusals that one statement got from the homes of its targets, and the delay after which its
 * caller is told to retry.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SearchRefusals {
  private static final String RETRY_HASH = "retry";

  private final Route route;
  private final double unitHash;
  private TargetPool soonest;
  private long soonestMs;

  SearchRefusals(Route route, String statementId) {
    this.route = route;
    unitHash = Rendezvous.unitHash(statementId, RETRY_HASH);
  }

  /** Returns the hash of the statement in [0, 1), which spreads the retries of many callers. */
  double unitHash() {
    return unitHash;
  }

  /** Records that {@code pool} refused the statement on arrival. */
  void add(TargetPool pool, long retryAfterMs) {
    if (soonest == null || retryAfterMs < soonestMs) {
      soonest = pool;
      soonestMs = retryAfterMs;
    }
  }

  /** Returns whether a target refused the statement on arrival. */
  boolean hasAny() {
    return soonest != null;
  }

  /** Returns the delay for the target with the shortest one, and counts the caller there. */
  long retryAfterMs() {
    return retryAfterMs(soonest, soonestMs);
  }

  /** Returns a delay of at least {@code minDelayMs}, and counts the caller at {@code pool}. */
  long retryAfterMs(TargetPool pool, long minDelayMs) {
    return pool == null ? minDelayMs : pool.waits().returnDelayMs(route, minDelayMs, unitHash);
  }
}
