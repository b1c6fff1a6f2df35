package io.hickorydrift.core.limit;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Operations of one organisation that wait for a token: urgent ones first, and in order of arrival
 * among the urgent ones and among the others. Load pattern: an organisation sends several times its
 * rate, a small part of it urgent; in order of arrival its urgent operations are refused as often
 * as the others.
 *
 * <p>Invariant: without urgent operations the order is that of arrival. Thread safety: confined to
 * one thread.
 */
final class TokenQueue {
  /**
   * An operation that waits for a token.
   *
   * @param deadlineNanos time until which it waits
   */
  record Entry(long ticket, boolean urgent, long deadlineNanos) {}

  private final ArrayDeque<Entry> urgent = new ArrayDeque<>();
  private final ArrayDeque<Entry> others = new ArrayDeque<>();

  void add(Entry entry) {
    (entry.urgent ? urgent : others).addLast(entry);
  }

  /** Removes and returns the operation that gets the next token, or null if none waits. */
  Entry pollFirst() {
    return urgent.isEmpty() ? others.pollFirst() : urgent.pollFirst();
  }

  /** Returns an operation whose wait has ended, an urgent one first; null if there is none. */
  Entry firstExpired(long nowNanos) {
    for (ArrayDeque<Entry> entries : List.of(urgent, others)) {
      if (!entries.isEmpty() && entries.peekFirst().deadlineNanos - nowNanos <= 0) {
        return entries.peekFirst();
      }
    }
    return null;
  }

  /** Removes an operation that {@link #firstExpired} has returned. */
  void removeExpired(Entry expired) {
    (expired.urgent ? urgent : others).removeFirst();
  }

  /**
   * Removes and returns the last operation in the order if more operations are before it than
   * tokens are expected until its wait ends; returns null if its turn can come.
   */
  Entry pollHopeless(double tokensPerSecond, long nowNanos) {
    ArrayDeque<Entry> last = others.isEmpty() ? urgent : others;
    if (last.isEmpty()) {
      return null;
    }
    double seconds = (last.peekLast().deadlineNanos - nowNanos) / 1e9;
    return size() - 1 > tokensPerSecond * seconds ? last.pollLast() : null;
  }

  /** Returns the number of operations that are served before a new one. */
  int countBefore(boolean newIsUrgent) {
    return newIsUrgent ? urgent.size() : size();
  }

  int size() {
    return urgent.size() + others.size();
  }

  boolean isEmpty() {
    return size() == 0;
  }
}
