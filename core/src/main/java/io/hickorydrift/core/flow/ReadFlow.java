package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetChooser;
import io.hickorydrift.core.routing.TargetView;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One read. It is answered only with data that reaches the session's position and, where the caller
 * states an age, with data proven to be no older than that when the request arrived.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class ReadFlow implements Flow {
  private static final long AVOID_NANOS = 500_000_000L;
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long RETRY_AFTER_MS = 200;

  private final GroupView view;
  private final TargetChooser chooser;
  private final ReadRequest demand;
  private final Set<String> tried = new HashSet<>();
  private TargetAnswer held;
  private String heldTarget;
  private boolean foundStale;
  private boolean triedBefore;

  /** A read with {@code demand} on the group of {@code view}. */
  public ReadFlow(GroupView view, TargetChooser chooser, ReadRequest demand) {
    this.view = view;
    this.chooser = chooser;
    this.demand = demand;
  }

  @Override
  public Step start(long nowNanos) {
    return next(nowNanos);
  }

  @Override
  public Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    triedBefore = true;
    if (answer.status() == TargetStatus.SQL_ERROR) {
      return FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
    }
    if (answer.status() == TargetStatus.OK
        && Positions.reaches(answer.applied(), demand.sessionPosition())) {
      held = answer;
      heldTarget = target;
      return resume(nowNanos);
    }
    if (answer.status() != TargetStatus.WRONG_TERM) {
      tried.add(target);
    }
    return answer.status() == TargetStatus.WRONG_TERM ? pause(nowNanos) : next(nowNanos);
  }

  @Override
  public Step onFailure(String target, ExchangeFailure failure, long nowNanos) {
    tried.add(target);
    if (failure == ExchangeFailure.QUEUE_FULL) {
      List<TargetView> others = chooser.rank(view, demand, tried, nowNanos);
      return others.isEmpty() ? queueFull() : ask(others.get(0));
    }
    triedBefore = true;
    TargetView silent = view.target(target);
    if (silent != null) {
      silent.avoidUntil(nowNanos + AVOID_NANOS);
    }
    return next(nowNanos);
  }

  @Override
  public Step resume(long nowNanos) {
    if (held == null) {
      return next(nowNanos);
    }
    long ageNanos = view.ageBoundNanos(held.applied(), nowNanos);
    if (demand.acceptsAge(ageNanos, nowNanos)) {
      return finish(ageNanos);
    }
    if (heldTarget.equals(view.primary()) && nowNanos - demand.deadlineNanos() < 0) {
      // The primary's data is complete; only the proof that it still is the primary is missing.
      return RetryDelay.waitStep(demand.deadlineNanos(), nowNanos);
    }
    foundStale = true;
    tried.add(heldTarget);
    held = null;
    return next(nowNanos);
  }

  private Step finish(long ageNanos) {
    String role = heldTarget.equals(view.primary()) ? FinalAnswers.PRIMARY : FinalAnswers.REPLICA;
    long ageMs = ageNanos < 0 ? -1 : ageNanos / NANOS_PER_MS;
    return new Step.Finish(FinalAnswers.success(heldTarget, role, held).ageMs(ageMs).build());
  }

  private Step next(long nowNanos) {
    if (nowNanos - demand.deadlineNanos() >= 0) {
      return giveUp();
    }
    List<TargetView> candidates = chooser.rank(view, demand, tried, nowNanos);
    return candidates.isEmpty() ? pause(nowNanos) : ask(candidates.get(0));
  }

  private Step pause(long nowNanos) {
    if (nowNanos - demand.deadlineNanos() >= 0) {
      return giveUp();
    }
    tried.clear();
    return RetryDelay.waitStep(demand.deadlineNanos(), nowNanos);
  }

  /** With tries behind it the request is short of time for another reason than the queue. */
  private Step queueFull() {
    return triedBefore
        ? giveUp()
        : FinalAnswers.refusal(ResultCode.OVERLOADED, null, RETRY_AFTER_MS);
  }

  private Step giveUp() {
    ResultCode code = foundStale ? ResultCode.TOO_STALE : ResultCode.NO_TARGET;
    return FinalAnswers.refusal(code, null, RETRY_AFTER_MS);
  }

  private Step ask(TargetView target) {
    Position position = demand.sessionPosition();
    return new Step.SendRequest(
        target.id(),
        TargetRequest.builder()
            .op(TargetOp.READ)
            .term(view.term())
            .organisation(demand.organisation())
            .sql(demand.sql())
            .params(demand.params())
            .position(position)
            .build());
  }
}
