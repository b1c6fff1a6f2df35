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
 * Flow of one read. It returns only data that has reached the session's position and, if the caller
 * states a maximum age, only data proven to be no older than that at the arrival of the request.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class ReadFlow implements Flow {
  private static final long AVOID_AFTER_FAILURE_NANOS = 500_000_000L;
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long RETRY_AFTER_MS = 200;

  private final GroupView view;
  private final TargetChooser chooser;
  private final ReadRequest readRequest;
  private final Set<String> tried = new HashSet<>();
  private TargetAnswer pendingAnswer;
  private String pendingTarget;
  private boolean foundStaleData;
  private boolean attempted;

  /** Creates the flow of the read {@code readRequest} on the group of {@code view}. */
  public ReadFlow(GroupView view, TargetChooser chooser, ReadRequest readRequest) {
    this.view = view;
    this.chooser = chooser;
    this.readRequest = readRequest;
  }

  @Override
  public Step start(long nowNanos) {
    return tryNextTarget(nowNanos);
  }

  @Override
  public Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    attempted = true;
    if (answer.status() == TargetStatus.SQL_ERROR) {
      return FinalAnswers.refusal(ResultCode.STATEMENT_FAILED, answer.message(), 0);
    }
    if (answer.status() == TargetStatus.OK
        && Positions.reaches(answer.applied(), readRequest.sessionPosition())) {
      pendingAnswer = answer;
      pendingTarget = target;
      return resume(nowNanos);
    }
    if (answer.status() != TargetStatus.WRONG_TERM) {
      tried.add(target);
    }
    return answer.status() == TargetStatus.WRONG_TERM
        ? waitAndRetry(nowNanos)
        : tryNextTarget(nowNanos);
  }

  @Override
  public Step onFailure(String target, ExchangeFailure failure, long nowNanos) {
    tried.add(target);
    if (failure == ExchangeFailure.QUEUE_FULL) {
      List<TargetView> otherTargets = chooser.rank(view, readRequest, tried, nowNanos);
      return otherTargets.isEmpty() ? queueFullRefusal() : sendTo(otherTargets.get(0));
    }
    attempted = true;
    TargetView failedTarget = view.target(target);
    if (failedTarget != null) {
      failedTarget.avoidUntil(nowNanos + AVOID_AFTER_FAILURE_NANOS);
    }
    return tryNextTarget(nowNanos);
  }

  @Override
  public Step resume(long nowNanos) {
    if (pendingAnswer == null) {
      return tryNextTarget(nowNanos);
    }
    long ageNanos = view.ageBoundNanos(pendingAnswer.applied(), nowNanos);
    if (readRequest.acceptsAge(ageNanos, nowNanos)) {
      return finish(ageNanos);
    }
    if (pendingTarget.equals(view.primary()) && nowNanos - readRequest.deadlineNanos() < 0) {
      // The primary's data is complete; only the proof that it is still the primary is missing.
      return RetryDelay.waitStep(readRequest.deadlineNanos(), nowNanos);
    }
    foundStaleData = true;
    tried.add(pendingTarget);
    pendingAnswer = null;
    return tryNextTarget(nowNanos);
  }

  private Step finish(long ageNanos) {
    String role =
        pendingTarget.equals(view.primary()) ? FinalAnswers.PRIMARY : FinalAnswers.REPLICA;
    long ageMs = ageNanos < 0 ? -1 : ageNanos / NANOS_PER_MS;
    return new Step.Finish(
        FinalAnswers.success(pendingTarget, role, pendingAnswer).ageMs(ageMs).build());
  }

  private Step tryNextTarget(long nowNanos) {
    if (nowNanos - readRequest.deadlineNanos() >= 0) {
      return finalRefusal();
    }
    List<TargetView> candidates = chooser.rank(view, readRequest, tried, nowNanos);
    return candidates.isEmpty() ? waitAndRetry(nowNanos) : sendTo(candidates.get(0));
  }

  private Step waitAndRetry(long nowNanos) {
    if (nowNanos - readRequest.deadlineNanos() >= 0) {
      return finalRefusal();
    }
    tried.clear();
    return RetryDelay.waitStep(readRequest.deadlineNanos(), nowNanos);
  }

  /** After an earlier attempt, the request is not short of time because of the queue alone. */
  private Step queueFullRefusal() {
    return attempted
        ? finalRefusal()
        : FinalAnswers.refusal(ResultCode.OVERLOADED, null, RETRY_AFTER_MS);
  }

  private Step finalRefusal() {
    ResultCode code = foundStaleData ? ResultCode.TOO_STALE : ResultCode.NO_TARGET;
    return FinalAnswers.refusal(code, null, RETRY_AFTER_MS);
  }

  private Step sendTo(TargetView target) {
    Position position = readRequest.sessionPosition();
    return new Step.SendRequest(
        target.id(),
        TargetRequest.builder()
            .op(TargetOp.READ)
            .term(view.term())
            .organisation(readRequest.organisation())
            .sql(readRequest.sql())
            .params(readRequest.params())
            .position(position)
            .build());
  }
}
