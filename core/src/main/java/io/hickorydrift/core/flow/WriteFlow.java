package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.routing.GroupView;

/**
 * Flow of one write, or of the commit of a transaction. It is acknowledged only when a majority of
 * the group's targets has logged its entry in the current term.
 *
 * <p>An attempt whose effect is unknown is retried with the same request id on the current primary:
 * the target records the id in the transaction of the write, so that a second execution returns the
 * result of the first. A commit cannot be retried; instead, its request id is claimed, which either
 * finds the commit or prevents it permanently.
 *
 * <p>Invariant: a result that states that the write was not run is returned only if no attempt was
 * sent whose effect is unknown, or if the claim of its request id was confirmed. Thread safety:
 * confined to one thread.
 */
public final class WriteFlow implements Flow {
  private static final long RETRY_AFTER_MS = 500;

  private final GroupView view;
  private final WriteRequest writeRequest;
  private String commitTarget;
  private boolean claimingRequestId;
  private boolean mayHaveTakenEffect;
  private boolean attempted;
  private TargetAnswer acceptedAnswer;
  private String acceptingTarget;

  private WriteFlow(GroupView view, WriteRequest writeRequest, String commitTarget) {
    this.view = view;
    this.writeRequest = writeRequest;
    this.commitTarget = commitTarget;
  }

  /** Returns the flow of a single write. */
  public static WriteFlow write(GroupView view, WriteRequest writeRequest) {
    return new WriteFlow(view, writeRequest, null);
  }

  /**
   * Returns the flow that commits a transaction open on {@code target}; its first exchange uses the
   * transaction's own connection.
   */
  public static WriteFlow commit(GroupView view, WriteRequest writeRequest, String target) {
    return new WriteFlow(view, writeRequest, target);
  }

  /** Returns the flow that determines the outcome of an earlier commit with the same request id. */
  public static WriteFlow resolveCommit(GroupView view, WriteRequest writeRequest) {
    WriteFlow flow = new WriteFlow(view, writeRequest, null);
    flow.claimingRequestId = true;
    flow.mayHaveTakenEffect = true;
    return flow;
  }

  @Override
  public Step start(long nowNanos) {
    return sendNext(nowNanos);
  }

  @Override
  public Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    boolean wasCommit = commitTarget != null;
    commitTarget = null;
    switch (answer.status()) {
      case OK:
        acceptedAnswer = answer;
        acceptingTarget = target;
        return resume(nowNanos);
      case SQL_ERROR:
        return mayHaveTakenEffect
            ? outcomeUnknown()
            : FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
      default:
        attempted = true;
        return wasCommit ? transactionLost() : waitAndRetry(nowNanos);
    }
  }

  @Override
  public Step onFailure(String target, ExchangeFailure failure, long nowNanos) {
    boolean wasCommit = commitTarget != null;
    commitTarget = null;
    if (failure == ExchangeFailure.NO_ANSWER) {
      mayHaveTakenEffect = true;
      claimingRequestId = claimingRequestId || wasCommit;
      return waitAndRetry(nowNanos);
    }
    if (wasCommit) {
      return transactionLost();
    }
    if (failure == ExchangeFailure.QUEUE_FULL && !mayHaveTakenEffect) {
      // After an earlier attempt, the request is not short of time because of the queue alone.
      ResultCode code = attempted ? ResultCode.NO_PRIMARY : ResultCode.OVERLOADED;
      return FinalAnswers.refusal(code, null, RETRY_AFTER_MS);
    }
    attempted = true;
    return waitAndRetry(nowNanos);
  }

  @Override
  public Step resume(long nowNanos) {
    if (acceptedAnswer == null) {
      return sendNext(nowNanos);
    }
    Position position = acceptedAnswer.position();
    if (view.isConfirmed(position)) {
      return finish(position);
    }
    if (view.term() > position.term()) {
      // The entry may not have survived the change of primary: retry with the same request id.
      mayHaveTakenEffect = true;
      claimingRequestId = claimingRequestId || writeRequest.sql() == null;
      acceptedAnswer = null;
      return sendNext(nowNanos);
    }
    if (nowNanos - writeRequest.deadlineNanos() >= 0) {
      return outcomeUnknown();
    }
    return new Step.Wait(writeRequest.deadlineNanos());
  }

  private Step finish(Position position) {
    if (claimingRequestId && !acceptedAnswer.duplicate()) {
      return transactionLost();
    }
    return new Step.Finish(
        FinalAnswers.success(acceptingTarget, FinalAnswers.PRIMARY, acceptedAnswer)
            .position(position)
            .build());
  }

  private Step sendNext(long nowNanos) {
    if (nowNanos - writeRequest.deadlineNanos() >= 0) {
      return mayHaveTakenEffect
          ? outcomeUnknown()
          : FinalAnswers.refusal(ResultCode.NO_PRIMARY, null, RETRY_AFTER_MS);
    }
    if (commitTarget != null) {
      return new Step.SendRequest(commitTarget, request(TargetOp.COMMIT));
    }
    if (view.primary() == null) {
      return waitAndRetry(nowNanos);
    }
    return new Step.SendRequest(view.primary(), request(TargetOp.WRITE));
  }

  private Step waitAndRetry(long nowNanos) {
    if (nowNanos - writeRequest.deadlineNanos() >= 0) {
      return sendNext(nowNanos);
    }
    return RetryDelay.waitStep(writeRequest.deadlineNanos(), nowNanos);
  }

  private TargetRequest request(TargetOp op) {
    return TargetRequest.builder()
        .op(op)
        .term(view.term())
        .organisation(writeRequest.organisation())
        .requestId(writeRequest.requestId())
        .sql(writeRequest.sql())
        .params(writeRequest.params())
        .build();
  }

  private static Step transactionLost() {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  private static Step outcomeUnknown() {
    return FinalAnswers.refusal(ResultCode.OUTCOME_UNKNOWN, null, RETRY_AFTER_MS);
  }
}
