package io.hickorydrift.core.warmup;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Bounds the requests to one cold target in any second, wherever that second begins. Load pattern:
 * the callers of a failure domain return at once after its targets have started; a token bucket
 * would let through up to twice its rate within a second.
 *
 * <p>Thread safety: confined to one thread.
 */
final class SlidingSecondLimiter {
  // Delays to the target differ by less; requests sent further apart arrive a second apart.
  private static final long JITTER_NANOS = 50_000_000L;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

  /**
   * Returns whether {@code requests} more may be sent without more than {@code perSecond} in any
   * second. A rate under 1 allows one request in any {@code 1 / perSecond} seconds; a rate that
   * never allows all of the requests lets them through together in an empty window.
   */
  boolean hasRoom(double perSecond, int requests, long nowNanos) {
    if (perSecond <= 0) {
      return false;
    }
    int capacity = Math.max(1, (int) perSecond);
    long windowNanos = windowNanos(perSecond);
    forget(windowNanos, nowNanos);
    return sentIn(windowNanos, nowNanos) + Math.min(requests, capacity) <= capacity;
  }

  /** Returns the time for which a request counts. */
  static long windowNanos(double perSecond) {
    return (long) (SECOND_NANOS / Math.min(1, perSecond)) + JITTER_NANOS;
  }

  /** Keeps the last request in any case: a smaller rate looks back further. */
  private void forget(long windowNanos, long nowNanos) {
    while (sentNanos.size() > 1 && nowNanos - sentNanos.peekFirst() >= windowNanos) {
      sentNanos.pollFirst();
    }
  }

  private int sentIn(long windowNanos, long nowNanos) {
    int count = 0;
    for (Iterator<Long> each = sentNanos.descendingIterator(); each.hasNext(); ) {
      if (nowNanos - each.next() >= windowNanos) {
        break;
      }
      count++;
    }
    return count;
  }

  /** Records a request, also one beyond the bound. */
  void record(long nowNanos) {
    sentNanos.addLast(nowNanos);
  }

  /** Replaces the request recorded at {@code recordedNanos} by one that is sent now. */
  void move(long recordedNanos, long nowNanos) {
    sentNanos.removeFirstOccurrence(recordedNanos);
    sentNanos.addLast(nowNanos);
  }

  /** Returns whether no request was recorded after {@code nanos}. */
  boolean isIdleSince(long nanos) {
    return sentNanos.isEmpty() || sentNanos.peekLast() - nanos <= 0;
  }
}
