package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * A message from a target on a session connection.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetMessage {
  /**
   * One row of a result, unchanged as the target sent it. Its text may also consist of a row that
   * broke off and one that follows without a line end.
   *
   * @param text the row
   * @param brokenOff the row that may have broken off, or null
   * @param following the row that may follow it, or null
   */
  record Row(String text, String brokenOff, String following) implements TargetMessage {
    /** Creates a row that cannot consist of two. */
    public Row(String text) {
      this(text, null, null);
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
