package io.hickorydrift.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tokens granted to peers that the peers may still use.
 *
 * <p>Invariant: a grant counts until its receiver reports it as used up or it expires here. The
 * receiver measures the validity from when it sent its request, which is earlier, so the grant
 * expires there first.
 *
 * <p>Thread safety: confined to one thread.
 */
final class OutstandingGrants {
  private record Grant(double tokens, long expiryNanos) {}

  private final Map<Long, Grant> grants = new HashMap<>();
  private double outstanding;

  void add(long grantId, double tokens, long expiryNanos) {
    grants.put(grantId, new Grant(tokens, expiryNanos));
    outstanding += tokens;
  }

  void remove(long grantId) {
    Grant grant = grants.remove(grantId);
    if (grant != null) {
      outstanding -= grant.tokens;
    }
  }

  double outstandingTokens(long nowNanos) {
    for (Iterator<Grant> iterator = grants.values().iterator(); iterator.hasNext(); ) {
      Grant grant = iterator.next();
      if (grant.expiryNanos - nowNanos <= 0) {
        outstanding -= grant.tokens;
        iterator.remove();
      }
    }
    if (grants.isEmpty()) {
      outstanding = 0;
    }
    return outstanding;
  }
}
