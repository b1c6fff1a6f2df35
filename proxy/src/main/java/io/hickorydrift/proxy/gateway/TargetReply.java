package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import java.util.List;

/**
 * A target's answer to one command.
 *
 * <p>Thread safety: immutable as long as its rows are.
 *
 * @param rows rows of the result
 * @param signature the target's signature, or null if it failed
 * @param failure why it failed; null if it succeeded or if no answer came
 * @param text what the target or this instance says about a failure
 * @param state where the target's session stands; null if no answer came
 * @param position position that the target showed, or null
 * @param sentNanos time just before the command was sent
 */
record TargetReply(
    List<String> rows,
    String signature,
    FailureCode failure,
    String text,
    SessionState state,
    Position position,
    long sentNanos) {

  /** Returns whether the target ran the command with success. */
  boolean ok() {
    return signature != null;
  }

  /** Returns whether no answer came; the connection is gone then. */
  boolean lost() {
    return signature == null && failure == null;
  }

  /** Returns whether it failed for {@code code}. */
  boolean failedFor(FailureCode code) {
    return failure == code;
  }
}
