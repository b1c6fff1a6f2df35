package io.hickorydrift.core.store;

import java.util.Comparator;

/**
 * A position in the history of the store. The store may be restored from an older copy; the era
 * rises by one each time, and revisions are given out again.
 *
 * <p>Invariant: a later era is above all positions of earlier ones, whatever the revisions. Thread
 * safety: immutable.
 *
 * @param era number of the era, 0 if the store does not tell one
 * @param revision revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** Position before all others. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  // Room for 1,000 revisions a second over 34 years, and for four million eras.
  private static final int REVISION_BITS = 40;
  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this position is above {@code other}. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns the fencing token of a key written at this position. Tokens are ordered as positions
   * are; in era 0 a token equals the revision.
   */
  public long fencingToken() {
    return (era << REVISION_BITS) + revision;
  }

  @Override
  public String toString() {
    return era + ":" + revision;
  }
}
