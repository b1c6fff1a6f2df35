package io.hickorydrift.core.limit;

import java.util.ArrayDeque;

/**
 * Tokens that were taken from a holder and may be used here for a short time.
 *
 * <p>Invariant: no token is used after its time. Thread safety: confined to one thread.
 */
final class ExpiringTokens {
  private record Batch(double tokens, long untilNanos) {}

  private final ArrayDeque<Batch> batches = new ArrayDeque<>();

  void add(double tokens, long untilNanos) {
    batches.addLast(new Batch(tokens, untilNanos));
  }

  void discardAll() {
    batches.clear();
  }

  double level(long nowNanos) {
    batches.removeIf(batch -> batch.untilNanos - nowNanos <= 0);
    double level = 0;
    for (Batch batch : batches) {
      level += batch.tokens;
    }
    return level;
  }

  /** Takes one token; there must be one. */
  void takeOne() {
    double missing = 1;
    while (missing > 0 && !batches.isEmpty()) {
      Batch first = batches.pollFirst();
      double part = Math.min(missing, first.tokens);
      missing -= part;
      if (first.tokens > part) {
        batches.addFirst(new Batch(first.tokens - part, first.untilNanos));
      }
    }
  }
}
