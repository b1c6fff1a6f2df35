package io.hickorydrift.core.answer;

/**
 * What the answers of a group's targets have shown about rows of writes and commits. A row that
 * equals an earlier one on its connection is the write's own, or a repeat in front of an answer
 * that lacks it, and nothing in the answer tells which. A target that repeats rows does so behind
 * other commands as well, where it shows. So such rows count as the write's own once several
 * answers had them and no repeat was seen anywhere.
 *
 * <p>The targets of a group run the same software, so that one of them shows it for all, also for
 * the next primary.
 *
 * <p>Invariant: a repeat that was seen counts for good. Thread safety: confined to one thread.
 */
public final class WriteRowEvidence {
  private static final int MIN_DOUBTS = 5;

  private boolean rowsSeen;
  private int doubts;
  private boolean repeatSeen;

  /** Returns whether an answer to a write or commit had rows, of its own or repeated ones. */
  boolean rowsSeen() {
    return rowsSeen;
  }

  /** Records that an answer to a write or commit had rows. */
  void recordRows() {
    rowsSeen = true;
  }

  /** Records an answer, or a row, that is a repeat or may be one, to another command. */
  void recordRepeat() {
    repeatSeen = true;
  }

  /** Records rows of a write that equal earlier ones; returns whether they count as its own. */
  boolean acceptsEqualRows() {
    if (doubts < MIN_DOUBTS) {
      doubts++;
      return false;
    }
    return !repeatSeen;
  }
}
