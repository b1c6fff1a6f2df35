package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;

/**
 * One statement, or the rollback, of an open transaction, over the transaction's own connection.
 * Without an answer the connection is closed, which rolls the transaction back.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class StatementFlow implements Flow {
  private final String target;
  private final TargetRequest request;

  /** Runs {@code request} on the transaction that is open on {@code target}. */
  public StatementFlow(String target, TargetRequest request) {
    this.target = target;
    this.request = request;
  }

  @Override
  public Step start(long nowNanos) {
    return new Step.SendRequest(target, request);
  }

  @Override
  public Step onAnswer(String answering, TargetAnswer answer, long sentNanos, long nowNanos) {
    if (answer.status() == TargetStatus.OK) {
      return new Step.Finish(FinalAnswers.success(target, FinalAnswers.PRIMARY, answer).build());
    }
    if (answer.status() == TargetStatus.SQL_ERROR) {
      return FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
    }
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  @Override
  public Step onFailure(String answering, ExchangeFailure failure, long nowNanos) {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  @Override
  public Step resume(long nowNanos) {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }
}
