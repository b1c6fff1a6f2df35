package io.hickorydrift.core.freshness;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;

/**
 * Observed positions of a group's primary, each with the time just before the exchange that
 * returned it was sent.
 *
 * <p>Invariant: a log that has reached an observed position holds every commit acknowledged before
 * the time of that observation. A read that requires a position observed no longer ago than its
 * staleness bound therefore never exceeds that bound, under any network partition.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class ObservedPositions {
  private static final int CAPACITY = 64;
  // Observations closer together than this do not improve the choice of a bound.
  private static final long MIN_SPACING_NANOS = 30_000_000L;

  private final long[] sentTimesNanos = new long[CAPACITY];
  private final Position[] positions = new Position[CAPACITY];
  private int newest = -1;
  private int count;
  private Position baseline;
  private long baselineNanos;
  private boolean awaitsBaseline;

  /** Makes the next position that is observed after {@code sinceNanos} the baseline. */
  public void beginBaseline(long sinceNanos) {
    baseline = null;
    baselineNanos = sinceNanos;
    awaitsBaseline = true;
  }

  /** Returns the first position observed since {@link #beginBaseline}, or null. */
  public Position baseline() {
    return baseline;
  }

  /** Adds a position returned by an exchange that was sent at {@code sentNanos}. */
  public void add(Position position, long sentNanos) {
    if (awaitsBaseline && sentNanos - baselineNanos >= 0) {
      baseline = position;
      awaitsBaseline = false;
    }
    if (count > 0 && sentNanos - sentTimesNanos[newest] < 0) {
      return;
    }
    Position highest = count > 0 ? Positions.later(position, positions[newest]) : position;
    boolean tooClose =
        count > 1
            && sentNanos - sentTimesNanos[(newest + CAPACITY - 1) % CAPACITY] < MIN_SPACING_NANOS;
    if (!tooClose) {
      newest = (newest + 1) % CAPACITY;
      count = Math.min(count + 1, CAPACITY);
    }
    sentTimesNanos[newest] = sentNanos;
    positions[newest] = highest;
  }

  /**
   * Returns the lowest observed position that proves that a log which has reached it holds all
   * commits acknowledged before {@code sinceNanos}, or null if no observation is recent enough.
   */
  public Position lowerBound(long sinceNanos) {
    Position bound = null;
    for (int i = 0; i < count; i++) {
      int index = (newest + CAPACITY - i) % CAPACITY;
      if (sentTimesNanos[index] - sinceNanos < 0) {
        break;
      }
      bound = positions[index];
    }
    return bound;
  }

  /** Returns the latest observed position, or null if there is none. */
  public Position latest() {
    return count == 0 ? null : positions[newest];
  }

  /** Returns the age of the newest observation, or {@link Long#MAX_VALUE} if there is none. */
  public long ageNanos(long nowNanos) {
    return count == 0 ? Long.MAX_VALUE : nowNanos - sentTimesNanos[newest];
  }

  /** Discards all observations, for example after a clock pause (a suspended process). */
  public void clear() {
    count = 0;
  }
}
