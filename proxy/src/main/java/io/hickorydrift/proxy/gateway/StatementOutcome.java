package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import java.util.List;

/**
 * What a caller is told about one statement.
 *
 * <p>Thread safety: immutable as long as its rows are.
 *
 * @param rows rows of the result
 * @param signature signature of the target that ran it, or null
 * @param failure why it failed, or null
 * @param reason what to say about a failure
 * @param state where the session stands after it
 * @param position position to show, or null
 */
record StatementOutcome(
    List<String> rows,
    String signature,
    FailureCode failure,
    String reason,
    SessionState state,
    Position position) {

  static StatementOutcome done(SessionState state) {
    return new StatementOutcome(List.of(), null, null, "", state, null);
  }

  static StatementOutcome of(TargetReply reply, SessionState state) {
    return new StatementOutcome(reply.rows(), reply.signature(), null, "", state, reply.position());
  }

  static StatementOutcome failed(FailureCode code, String reason, SessionState state) {
    return new StatementOutcome(List.of(), null, code, reason, state, null);
  }
}
