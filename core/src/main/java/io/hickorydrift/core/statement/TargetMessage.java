package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * What a target says on a session connection.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetMessage {
  /** One row of a result, as the target sent it. */
  record Row(String text) implements TargetMessage {}

  /** The statement succeeded. */
  record Complete(String signature) implements TargetMessage {}

  /** The statement failed. */
  record Failure(FailureCode code, String text) implements TargetMessage {}

  /** The statement is over; {@code position} is null if the target tells none. */
  record Ready(SessionState state, Position position) implements TargetMessage {}

  /** The bytes are no message. */
  record Unreadable(String reason) implements TargetMessage {}
}
