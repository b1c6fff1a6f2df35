package io.hickorydrift.core.position;

import io.hickorydrift.core.message.Position;

/**
 * Order of log positions: by term, then by index.
 *
 * <p>Assumed invariant: a log whose last entry is at or past an acknowledged position contains the
 * entry at that position, since an acknowledged entry is in the log of every later primary.
 *
 * <p>Thread safety: stateless.
 */
public final class Positions {
  /** The position before the first entry. */
  public static final Position START = new Position(0, 0);

  private Positions() {}

  /** Compares as {@link java.util.Comparator#compare} does; null counts as {@link #START}. */
  public static int compare(Position left, Position right) {
    Position a = left == null ? START : left;
    Position b = right == null ? START : right;
    return a.term() != b.term()
        ? Long.compare(a.term(), b.term())
        : Long.compare(a.index(), b.index());
  }

  /** Returns whether {@code held} is at or past {@code wanted}. */
  public static boolean reaches(Position held, Position wanted) {
    return compare(held, wanted) >= 0;
  }

  /** Returns the later of two positions. */
  public static Position later(Position left, Position right) {
    Position result = compare(left, right) >= 0 ? left : right;
    return result == null ? START : result;
  }
}
