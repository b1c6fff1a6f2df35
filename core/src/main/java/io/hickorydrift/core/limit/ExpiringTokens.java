package io.hickorydrift.core.limit;

import java.util.ArrayDeque;

/**
 * Tokens that were taken from a holder's bucket and may be used at this instance for a short time.
 *
 * <p>Invariant: no token is used after it expires. Thread safety: confined to one thread.
 */
final class ExpiringTokens {
  private record Batch(double tokens, long expiryNanos) {}

  private final ArrayDeque<Batch> batches = new ArrayDeque<>();

  void add(double tokens, long expiryNanos) {
    batches.addLast(new Batch(tokens, expiryNanos));
  }

  void discardAll() {
    batches.clear();
  }

  double level(long nowNanos) {
    batches.removeIf(batch -> batch.expiryNanos - nowNanos <= 0);
    double level = 0;
    for (Batch batch : batches) {
      level += batch.tokens;
    }
    return level;
  }

  /** Takes one token; the level must be at least one. */
  void takeOne() {
    take(1);
  }

  /** Takes {@code tokens}, or all if there are fewer. */
  void take(double tokens) {
    double missing = tokens;
    while (missing > 0 && !batches.isEmpty()) {
      Batch first = batches.pollFirst();
      double taken = Math.min(missing, first.tokens);
      missing -= taken;
      if (first.tokens > taken) {
        batches.addFirst(new Batch(first.tokens - taken, first.expiryNanos));
      }
    }
  }
}
