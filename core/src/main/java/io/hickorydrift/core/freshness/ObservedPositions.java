package io.hickorydrift.core.freshness;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;

/**
 * Positions of a group's primary, each with the time just before the exchange that showed it.
 *
 * <p>Invariant: a log that has the position of a sighting holds every commit acknowledged before
 * the sighting's time. So a read that asks for the position of a sighting no older than the
 * accepted staleness is never too stale, whoever is cut off from whom.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class ObservedPositions {
  private static final int CAPACITY = 64;
  // Two sightings closer than this add nothing to the choice.
  private static final long SPACING_NANOS = 30_000_000L;

  private final long[] times = new long[CAPACITY];
  private final Position[] positions = new Position[CAPACITY];
  private int newest = -1;
  private int count;

  /** Adds a position shown by an exchange that was sent at {@code sentNanos}. */
  public void add(Position position, long sentNanos) {
    if (count > 0 && sentNanos - times[newest] < 0) {
      return;
    }
    Position held = count > 0 ? Positions.later(position, positions[newest]) : position;
    boolean crowded =
        count > 1 && sentNanos - times[(newest + CAPACITY - 1) % CAPACITY] < SPACING_NANOS;
    if (!crowded) {
      newest = (newest + 1) % CAPACITY;
      count = Math.min(count + 1, CAPACITY);
    }
    times[newest] = sentNanos;
    positions[newest] = held;
  }

  /**
   * Returns the lowest position that proves data to hold all commits acknowledged before {@code
   * sinceNanos}, or null if no sighting is young enough.
   */
  public Position lowerBound(long sinceNanos) {
    Position bound = null;
    for (int i = 0; i < count; i++) {
      int at = (newest + CAPACITY - i) % CAPACITY;
      if (times[at] - sinceNanos < 0) {
        break;
      }
      bound = positions[at];
    }
    return bound;
  }

  /** Returns the newest position, or null. */
  public Position latest() {
    return count == 0 ? null : positions[newest];
  }

  /** Returns the age of the newest sighting, or {@link Long#MAX_VALUE} if there is none. */
  public long ageNanos(long nowNanos) {
    return count == 0 ? Long.MAX_VALUE : nowNanos - times[newest];
  }

  /** Forgets all, as after a time during which this process did not run. */
  public void clear() {
    count = 0;
  }
}
