package io.hickorydrift.core.routing;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Bounds the age of a target's data without trusting any clock but the local one.
 *
 * <p>A sighting says that the primary of the current term was at a position at a local time. A
 * target that has applied that position lacks nothing acknowledged before the sighting, provided
 * that no later primary existed then. A majority of targets that answered in the same term to
 * exchanges sent after the sighting proves just that.
 *
 * <p>Invariant: sightings are in order of time and of position. Thread safety: confined to one
 * thread.
 */
public final class FreshnessTracker {
  /** Result when no age is proven. */
  public static final long UNPROVEN = -1;

  private static final int MAX_SIGHTINGS = 512;
  private static final long MIN_SPACING_NANOS = 1_000_000L;

  private record Sighting(long atNanos, Position position) {}

  private final ArrayDeque<Sighting> sightings = new ArrayDeque<>();

  /** Forgets everything, as when the term changes. */
  public void reset() {
    sightings.clear();
  }

  /** Notes that the primary held {@code position} at a time not before {@code sentNanos}. */
  public void recordPrimaryPosition(long sentNanos, Position position) {
    Sighting last = sightings.peekLast();
    if (last != null && sentNanos - last.atNanos < MIN_SPACING_NANOS) {
      return;
    }
    if (last != null && Positions.compare(last.position, position) > 0) {
      return;
    }
    sightings.addLast(new Sighting(sentNanos, position));
    if (sightings.size() > MAX_SIGHTINGS) {
      sightings.removeFirst();
    }
  }

  /**
   * Returns an upper bound in nanoseconds of the age of data at {@code applied}, or {@link
   * #UNPROVEN}.
   *
   * @param provenUntilNanos time up to which a majority has proven the term
   */
  public long ageBoundNanos(Position applied, long provenUntilNanos, long nowNanos) {
    Iterator<Sighting> latestFirst = sightings.descendingIterator();
    while (latestFirst.hasNext()) {
      Sighting sighting = latestFirst.next();
      boolean proven = sighting.atNanos - provenUntilNanos <= 0;
      if (proven && Positions.reaches(applied, sighting.position)) {
        return nowNanos - sighting.atNanos;
      }
    }
    return UNPROVEN;
  }
}
