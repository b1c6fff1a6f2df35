package io.hickorydrift.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tokens given to peers that may still be used there.
 *
 * <p>Invariant: a grant counts until its receiver has said that it is used up or its time has
 * passed; the receiver's time began earlier, with its request, so it ends earlier too.
 *
 * <p>Thread safety: confined to one thread.
 */
final class OutstandingGrants {
  private record Grant(double tokens, long untilNanos) {}

  private final Map<Long, Grant> grants = new HashMap<>();
  private double outstanding;

  void add(long grantId, double tokens, long untilNanos) {
    grants.put(grantId, new Grant(tokens, untilNanos));
    outstanding += tokens;
  }

  void remove(long grantId) {
    Grant grant = grants.remove(grantId);
    if (grant != null) {
      outstanding -= grant.tokens;
    }
  }

  double outstandingTokens(long nowNanos) {
    for (Iterator<Grant> each = grants.values().iterator(); each.hasNext(); ) {
      Grant grant = each.next();
      if (grant.untilNanos - nowNanos <= 0) {
        outstanding -= grant.tokens;
        each.remove();
      }
    }
    if (grants.isEmpty()) {
      outstanding = 0;
    }
    return outstanding;
  }
}
