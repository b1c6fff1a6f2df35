package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.routing.GroupView;

/**
 * The start of a transaction on the group's primary. A try that brings no answer had no effect,
 * since its connection is closed, so it is repeated until the deadline.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class BeginFlow implements Flow {
  private static final long RETRY_AFTER_MS = 500;

  private final GroupView view;
  private final String organisation;
  private final long deadlineNanos;

  /** Begins a transaction of {@code organisation}. */
  public BeginFlow(GroupView view, String organisation, long deadlineNanos) {
    this.view = view;
    this.organisation = organisation;
    this.deadlineNanos = deadlineNanos;
  }

  @Override
  public Step start(long nowNanos) {
    return resume(nowNanos);
  }

  @Override
  public Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    if (answer.status() == TargetStatus.OK) {
      return new Step.Finish(FinalAnswers.success(target, FinalAnswers.PRIMARY, answer).build());
    }
    return pause(nowNanos);
  }

  @Override
  public Step onFailure(String target, ExchangeFailure failure, long nowNanos) {
    if (failure == ExchangeFailure.QUEUE_FULL) {
      return FinalAnswers.refusal(ResultCode.OVERLOADED, null, RETRY_AFTER_MS);
    }
    return pause(nowNanos);
  }

  @Override
  public Step resume(long nowNanos) {
    if (nowNanos - deadlineNanos >= 0) {
      return FinalAnswers.refusal(ResultCode.NO_PRIMARY, null, RETRY_AFTER_MS);
    }
    if (view.primary() == null) {
      return pause(nowNanos);
    }
    return new Step.SendRequest(
        view.primary(),
        TargetRequest.builder()
            .op(TargetOp.BEGIN)
            .term(view.term())
            .organisation(organisation)
            .build());
  }

  private Step pause(long nowNanos) {
    if (nowNanos - deadlineNanos >= 0) {
      return resume(nowNanos);
    }
    return RetryDelay.waitStep(deadlineNanos, nowNanos);
  }

  /** Returns the answer that names the opened transaction. */
  public static ForwardAnswer withTransactionId(ForwardAnswer answer, String transactionId) {
    return ForwardAnswer.builder()
        .code(answer.code())
        .target(answer.target())
        .targetRole(answer.targetRole())
        .servedAt(answer.servedAt())
        .ageMs(answer.ageMs())
        .transactionId(transactionId)
        .build();
  }
}
