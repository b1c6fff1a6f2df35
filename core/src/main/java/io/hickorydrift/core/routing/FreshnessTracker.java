package io.hickorydrift.core.routing;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Bounds the age of a target's data using the local clock only.
 *
 * <p>An observed position records that the primary of the current term had logged a position at a
 * local time. A target that has applied that position holds every write acknowledged before the
 * observation, provided that no later primary existed then. This is proven once a majority of the
 * targets has answered, in the same term, exchanges sent no earlier than the observation.
 *
 * <p>Invariant: observed positions are in order of time and of position. Thread safety: confined to
 * one thread.
 */
public final class FreshnessTracker {
  /** Result if no bound of the age is proven. */
  public static final long UNPROVEN = -1;

  private static final int MAX_OBSERVATIONS = 512;
  private static final long MIN_SPACING_NANOS = 1_000_000L;

  private record ObservedPosition(long atNanos, Position position) {}

  private final ArrayDeque<ObservedPosition> observations = new ArrayDeque<>();

  /** Clears all observed positions; required when the term changes. */
  public void reset() {
    observations.clear();
  }

  /**
   * Records that the primary had logged {@code position} at a time not before {@code sentNanos}.
   */
  public void recordPrimaryPosition(long sentNanos, Position position) {
    ObservedPosition latest = observations.peekLast();
    if (latest != null && sentNanos - latest.atNanos < MIN_SPACING_NANOS) {
      return;
    }
    if (latest != null && Positions.compare(latest.position, position) > 0) {
      return;
    }
    observations.addLast(new ObservedPosition(sentNanos, position));
    if (observations.size() > MAX_OBSERVATIONS) {
      observations.removeFirst();
    }
  }

  /**
   * Returns an upper bound, in nanoseconds, of the age of data at {@code applied}, or {@link
   * #UNPROVEN}.
   *
   * @param termConfirmedUntilNanos time up to which a majority of the targets has confirmed the
   *     term
   */
  public long ageBoundNanos(Position applied, long termConfirmedUntilNanos, long nowNanos) {
    Iterator<ObservedPosition> latestFirst = observations.descendingIterator();
    while (latestFirst.hasNext()) {
      ObservedPosition observed = latestFirst.next();
      boolean termConfirmed = observed.atNanos - termConfirmedUntilNanos <= 0;
      if (termConfirmed && Positions.reaches(applied, observed.position)) {
        return nowNanos - observed.atNanos;
      }
    }
    return UNPROVEN;
  }
}
