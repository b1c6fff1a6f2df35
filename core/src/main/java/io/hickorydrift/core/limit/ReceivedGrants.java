package io.hickorydrift.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Tokens received from peers, and which of the grants are used up.
 *
 * <p>Invariant: no token is used after its grant's time. Thread safety: confined to one thread.
 */
final class ReceivedGrants {
  private static final double EMPTY = 1e-9;

  private static final class Grant {
    private final String giver;
    private final long grantId;
    private final long untilNanos;
    private double tokens;

    private Grant(String giver, long grantId, double tokens, long untilNanos) {
      this.giver = giver;
      this.grantId = grantId;
      this.tokens = tokens;
      this.untilNanos = untilNanos;
    }
  }

  private final ArrayDeque<Grant> grants = new ArrayDeque<>();
  private final Map<String, List<Long>> usedUp = new HashMap<>();

  void add(String giver, long grantId, double tokens, long untilNanos) {
    grants.addLast(new Grant(giver, grantId, tokens, untilNanos));
  }

  double level(long nowNanos) {
    double sum = 0;
    for (Iterator<Grant> each = grants.iterator(); each.hasNext(); ) {
      Grant grant = each.next();
      if (grant.untilNanos - nowNanos <= 0) {
        each.remove();
        noteUsed(grant);
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
      double part = Math.min(wanted - taken, oldest.tokens);
      oldest.tokens -= part;
      taken += part;
      if (oldest.tokens <= EMPTY) {
        noteUsed(grants.removeFirst());
      }
    }
    return taken;
  }

  /** Returns and forgets the grants of {@code giver} that can no longer be used here. */
  List<Long> drainUsedGrants(String giver) {
    List<Long> used = usedUp.remove(giver);
    return used == null ? List.of() : used;
  }

  private void noteUsed(Grant grant) {
    usedUp.computeIfAbsent(grant.giver, name -> new ArrayList<>()).add(grant.grantId);
  }
}
