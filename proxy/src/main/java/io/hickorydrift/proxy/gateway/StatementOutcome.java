package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import java.util.List;

/**
 * The result of one statement, as it is sent to the caller.
 *
 * <p>Thread safety: immutable as long as its rows are.
 *
 * @param rows rows of the result
 * @param signature signature of the target that ran the statement, or null
 * @param failure failure code, or null if the statement succeeded
 * @param reason description of the failure
 * @param state state of the session after the statement
 * @param position position to report to the caller, or null
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
