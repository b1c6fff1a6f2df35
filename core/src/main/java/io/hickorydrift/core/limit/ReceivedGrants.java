package io.hickorydrift.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Tokens received from peers, and the grants that are used up and not yet reported to their
 * granters.
 *
 * <p>Invariant: no token is used after its grant expires. Thread safety: confined to one thread.
 */
final class ReceivedGrants {
  private static final double EMPTY_TOLERANCE = 1e-9;

  private static final class Grant {
    private final String granter;
    private final long grantId;
    private final long expiryNanos;
    private double tokens;

    private Grant(String granter, long grantId, double tokens, long expiryNanos) {
      this.granter = granter;
      this.grantId = grantId;
      this.tokens = tokens;
      this.expiryNanos = expiryNanos;
    }
  }

  private final ArrayDeque<Grant> grants = new ArrayDeque<>();
  private final Map<String, List<Long>> usedUp = new HashMap<>();

  void add(String granter, long grantId, double tokens, long expiryNanos) {
    grants.addLast(new Grant(granter, grantId, tokens, expiryNanos));
  }

  double level(long nowNanos) {
    double sum = 0;
    for (Iterator<Grant> iterator = grants.iterator(); iterator.hasNext(); ) {
      Grant grant = iterator.next();
      if (grant.expiryNanos - nowNanos <= 0) {
        iterator.remove();
        recordUsedUp(grant);
      } else {
        sum += grant.tokens;
      }
    }
    return sum;
  }

  double take(double wanted, long nowNanos) {
    level(nowNanos);
    double taken = 0;
    while (taken < wanted && !grants.isEmpty()) {
      Grant oldest = grants.peekFirst();
      double fromOldest = Math.min(wanted - taken, oldest.tokens);
      oldest.tokens -= fromOldest;
      taken += fromOldest;
      if (oldest.tokens <= EMPTY_TOLERANCE) {
        recordUsedUp(grants.removeFirst());
      }
    }
    return taken;
  }

  /** Removes and returns the grants of {@code granter} that are used up or expired. */
  List<Long> drainUsedGrants(String granter) {
    List<Long> used = usedUp.remove(granter);
    return used == null ? List.of() : used;
  }

  private void recordUsedUp(Grant grant) {
    usedUp.computeIfAbsent(grant.granter, name -> new ArrayList<>()).add(grant.grantId);
  }
}
