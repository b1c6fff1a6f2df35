package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.TargetAnswer;

/**
 * Final answers of flows.
 *
 * <p>Thread safety: stateless.
 */
final class FinalAnswers {
  /** Role shown for a primary. */
  static final String PRIMARY = "primary";

  /** Role shown for a replica. */
  static final String REPLICA = "replica";

  private FinalAnswers() {}

  static Step.Finish refusal(ResultCode code, String message, long retryAfterMs) {
    return new Step.Finish(Refusal.of(code, message, retryAfterMs));
  }

  static ForwardAnswer.Builder success(String target, String role, TargetAnswer answer) {
    return ForwardAnswer.builder()
        .code(ResultCode.OK.number())
        .columns(answer.columns())
        .rows(answer.rows())
        .updateCount(answer.updateCount())
        .target(target)
        .targetRole(role)
        .servedAt(answer.applied())
        .duplicate(answer.duplicate())
        .ageMs(-1);
  }
}
