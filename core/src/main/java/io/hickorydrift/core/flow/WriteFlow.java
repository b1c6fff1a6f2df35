package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.routing.GroupView;

/**
 * One write, or the commit of a transaction. It is acknowledged only when a majority of the group's
 * targets has its entry in the log of the current term.
 *
 * <p>A try whose effect is unknown is repeated under the same request id on the current primary:
 * the target records the id in the transaction of the write, so that a second run returns the
 * result of the first. A commit cannot be repeated; instead its id is claimed, which either finds
 * the commit in place or rules it out for good.
 *
 * <p>Invariant: "not run" is answered only if no try was sent whose effect is unknown, or if the
 * claim of its id was confirmed. Thread safety: confined to one thread.
 */
public final class WriteFlow implements Flow {
  private static final long RETRY_AFTER_MS = 500;

  private final GroupView view;
  private final WriteRequest demand;
  private String commitTarget;
  private boolean claiming;
  private boolean mayHaveRun;
  private boolean triedBefore;
  private TargetAnswer accepted;
  private String acceptedBy;

  private WriteFlow(GroupView view, WriteRequest demand, String commitTarget) {
    this.view = view;
    this.demand = demand;
    this.commitTarget = commitTarget;
  }

  /** A single write. */
  public static WriteFlow write(GroupView view, WriteRequest demand) {
    return new WriteFlow(view, demand, null);
  }

  /**
   * The commit of a transaction that is open on {@code target}; the first exchange goes over the
   * transaction's own connection.
   */
  public static WriteFlow commit(GroupView view, WriteRequest demand, String target) {
    return new WriteFlow(view, demand, target);
  }

  /** Settles what became of an earlier commit under the same request id. */
  public static WriteFlow resolveCommit(GroupView view, WriteRequest demand) {
    WriteFlow flow = new WriteFlow(view, demand, null);
    flow.claiming = true;
    flow.mayHaveRun = true;
    return flow;
  }

  @Override
  public Step start(long nowNanos) {
    return next(nowNanos);
  }

  @Override
  public Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    boolean wasCommit = commitTarget != null;
    commitTarget = null;
    switch (answer.status()) {
      case OK:
        accepted = answer;
        acceptedBy = target;
        return resume(nowNanos);
      case SQL_ERROR:
        return mayHaveRun
            ? unknown()
            : FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
      default:
        triedBefore = true;
        return wasCommit ? lost() : pause(nowNanos);
    }
  }

  @Override
  public Step onFailure(String target, ExchangeFailure failure, long nowNanos) {
    boolean wasCommit = commitTarget != null;
    commitTarget = null;
    if (failure == ExchangeFailure.NO_ANSWER) {
      mayHaveRun = true;
      claiming = claiming || wasCommit;
      return pause(nowNanos);
    }
    if (wasCommit) {
      return lost();
    }
    if (failure == ExchangeFailure.QUEUE_FULL && !mayHaveRun) {
      // With tries behind it the request is short of time for another reason than the queue.
      ResultCode code = triedBefore ? ResultCode.NO_PRIMARY : ResultCode.OVERLOADED;
      return FinalAnswers.refusal(code, null, RETRY_AFTER_MS);
    }
    triedBefore = true;
    return pause(nowNanos);
  }

  @Override
  public Step resume(long nowNanos) {
    if (accepted == null) {
      return next(nowNanos);
    }
    Position position = accepted.position();
    if (view.isConfirmed(position)) {
      return finish(position);
    }
    if (view.term() > position.term()) {
      // The entry may or may not have survived the change of primary: ask again under the same id.
      mayHaveRun = true;
      claiming = claiming || demand.sql() == null;
      accepted = null;
      return next(nowNanos);
    }
    if (nowNanos - demand.deadlineNanos() >= 0) {
      return unknown();
    }
    return new Step.Wait(demand.deadlineNanos());
  }

  private Step finish(Position position) {
    if (claiming && !accepted.duplicate()) {
      return lost();
    }
    return new Step.Finish(
        FinalAnswers.success(acceptedBy, FinalAnswers.PRIMARY, accepted)
            .position(position)
            .build());
  }

  private Step next(long nowNanos) {
    if (nowNanos - demand.deadlineNanos() >= 0) {
      return mayHaveRun
          ? unknown()
          : FinalAnswers.refusal(ResultCode.NO_PRIMARY, null, RETRY_AFTER_MS);
    }
    if (commitTarget != null) {
      return new Step.SendRequest(commitTarget, request(TargetOp.COMMIT));
    }
    if (view.primary() == null) {
      return pause(nowNanos);
    }
    return new Step.SendRequest(view.primary(), request(TargetOp.WRITE));
  }

  private Step pause(long nowNanos) {
    if (nowNanos - demand.deadlineNanos() >= 0) {
      return next(nowNanos);
    }
    return RetryDelay.waitStep(demand.deadlineNanos(), nowNanos);
  }

  private TargetRequest request(TargetOp op) {
    return TargetRequest.builder()
        .op(op)
        .term(view.term())
        .organisation(demand.organisation())
        .requestId(demand.requestId())
        .sql(demand.sql())
        .params(demand.params())
        .build();
  }

  private static Step lost() {
    return FinalAnswers.refusal(ResultCode.TRANSACTION_LOST, null, 0);
  }

  private static Step unknown() {
    return FinalAnswers.refusal(ResultCode.OUTCOME_UNKNOWN, null, RETRY_AFTER_MS);
  }
}
