package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * A message from a target on a session connection.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetMessage {
  /**
   * One row of a result, unchanged as the target sent it. Its text may also consist of rows that
   * broke off and a message that follows without a line end.
   *
   * @param text the row
   * @param brokenOff the row that may have broken off first, or null
   * @param separator what stands between two rows in such a text, or null
   */
  record Row(String text, String brokenOff, String separator) implements TargetMessage {
    /** Creates a row in which no other message can begin. */
    public Row(String text) {
      this(text, null, null);
    }

    /** Returns whether another message may begin in the text. */
    public boolean mayHoldMessage() {
      return separator != null;
    }

    /** Returns whether a row that may begin in the text begins with the one that broke off. */
    public boolean repeatsBrokenOff() {
      int separatorAt = text.indexOf(separator);
      while (separatorAt >= 0) {
        if (text.startsWith(brokenOff, separatorAt + separator.length())) {
          return true;
        }
        separatorAt = text.indexOf(separator, separatorAt + 1);
      }
      return false;
    }

    /** Returns whether the text may end with {@code row}. */
    public boolean endsWithRow(String row) {
      return text.endsWith(separator + row);
    }
  }

  /**
   * The statement succeeded.
   *
   * @param signature the target's signature, or what stands in its place
   * @param signed whether the target has signed it, which it does for callers' statements
   */
  record Complete(String signature, boolean signed) implements TargetMessage {}

  /** The statement failed. */
  record Failure(FailureCode code, String text) implements TargetMessage {}

  /** The statement has ended; {@code position} is null if the target reported none. */
  record Ready(SessionState state, Position position) implements TargetMessage {}

  /** The bytes received are not a valid message. */
  record Unreadable(String reason) implements TargetMessage {}
}
