package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * A message from a target on a session connection.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetMessage {
  /** One row of a result, unchanged as the target sent it. */
  record Row(String text) implements TargetMessage {}

  /** The statement succeeded. */
  record Complete(String signature) implements TargetMessage {}

  /** The statement failed. */
  record Failure(FailureCode code, String text) implements TargetMessage {}

  /** The statement has ended; {@code position} is null if the target reported none. */
  record Ready(SessionState state, Position position) implements TargetMessage {}

  /** The bytes received are not a valid message. */
  record Unreadable(String reason) implements TargetMessage {}
}
