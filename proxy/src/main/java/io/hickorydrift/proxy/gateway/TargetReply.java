package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import java.util.List;

/**
 * A target's reply to one command, or its absence.
 *
 * <p>Thread safety: immutable as long as its rows are.
 *
 * @param rows rows of the result
 * @param signature signature of the target, or null unless the command succeeded
 * @param failure failure code; null if the command succeeded or no reply arrived
 * @param text description of the failure, from the target or from this instance
 * @param state state of the target's session; null if no reply arrived
 * @param position position that the target reported, or null
 * @param mayBeRepeat whether it equals an earlier answer on the connection, so that it may be that
 *     answer sent again; never of a caller's statement that succeeded
 * @param sentNanos time just before the command was sent
 */
record TargetReply(
    List<String> rows,
    String signature,
    FailureCode failure,
    String text,
    SessionState state,
    Position position,
    boolean mayBeRepeat,
    long sentNanos) {

  /** Returns whether the command succeeded. */
  boolean ok() {
    return signature != null;
  }

  /** Returns this reply with the position that a later one reported. */
  TargetReply at(Position later) {
    return new TargetReply(rows, signature, failure, text, state, later, mayBeRepeat, sentNanos);
  }

  /** Returns whether no reply arrived, in which case the connection is closed. */
  boolean lost() {
    return signature == null && failure == null;
  }

  /** Returns whether the command failed with {@code code}. */
  boolean failedFor(FailureCode code) {
    return failure == code;
  }
}
