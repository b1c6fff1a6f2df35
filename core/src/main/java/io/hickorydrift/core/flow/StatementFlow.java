package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;

/**
 * Flow of one statement, or of the rollback, of an open transaction over the transaction's own
 * connection. If no answer arrives, the connection is closed, which rolls the transaction back.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class StatementFlow implements Flow {
  private final String target;
  private final TargetRequest request;

  /** Creates the flow that runs {@code request} in the transaction open on {@code target}. */
  public StatementFlow(String target, TargetRequest request) {
    this.target = target;
    this.request = request;
  }

  @Override
  public Step start(long nowNanos) {
    return new Step.SendRequest(target, request);
  }

  @Override
  public Step onAnswer(String answeringTarget, TargetAnswer answer, long sentNanos, long nowNanos) {
    if (answer.status() == TargetStatus.OK) {
      return new Step.Finish(FinalAnswers.success(target, FinalAnswers.PRIMARY, answer).build());
    }
    if (answer.status() == TargetStatus.SQL_ERROR) {
      return FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
    }
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  @Override
  public Step onFailure(String answeringTarget, ExchangeFailure failure, long nowNanos) {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  @Override
  public Step resume(long nowNanos) {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }
}
