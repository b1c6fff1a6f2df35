package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.OutlierEjection;
import io.hickorydrift.core.directory.TargetHealth;
import io.hickorydrift.core.directory.TargetHealth.Outcome;
import io.hickorydrift.core.directory.TargetHealth.State;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Reports the outcomes of statements to {@link TargetHealth}, for groups with urgent work and in
 * fleets of several regions, and logs what follows from them.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class TargetOutcomes {
  private final EventLoop loop;
  private final Directory directory;
  private final Declarations declarations;
  private final boolean multiRegion;
  private final Metrics metrics;
  // Targets of groups for which outcomes are recorded, with the state that was last logged.
  private final Map<TargetState, State> loggedStates = new HashMap<>();

  TargetOutcomes(
      EventLoop loop,
      Directory directory,
      Declarations declarations,
      boolean multiRegion,
      Metrics metrics) {
    this.loop = loop;
    this.directory = directory;
    this.declarations = declarations;
    this.multiRegion = multiRegion;
    this.metrics = metrics;
  }

  /** Returns whether the outcomes of the statements of {@code group} are recorded. */
  boolean isActive(String group) {
    return multiRegion || declarations.isUrgent(group);
  }

  /** Records the outcome of a statement that {@code target} was sent. */
  void record(TargetState target, TargetReply reply) {
    if (!isActive(target.entry().group())) {
      return;
    }
    TargetHealth health = target.health();
    long nowNanos = loop.nowNanos();
    if (reply.ok()) {
      health.recordSuccess(nowNanos - reply.sentNanos(), nowNanos);
    } else if (reply.lost()) {
      // Counted when it was sent: a target that works again is not charged for what it lost before.
      health.record(Outcome.NO_ANSWER, reply.sentNanos());
    } else if (reply.failedFor(FailureCode.FAILED)) {
      health.record(Outcome.FAILURE, nowNanos);
    } else if (reply.failedFor(FailureCode.BUSY)) {
      health.record(Outcome.REFUSAL, nowNanos);
    }
  }

  /** Records that a statement sent to {@code target} has not been answered in time. */
  void recordMissing(TargetState target) {
    if (isActive(target.entry().group())) {
      target.health().record(Outcome.NO_ANSWER, loop.nowNanos());
    }
  }

  /**
   * Records the reply to a statement for which {@link #recordMissing} was called at {@code
   * missedNanos}. A failure remains one.
   */
  void recordLate(TargetState target, TargetReply reply, long missedNanos) {
    if (isActive(target.entry().group()) && reply.ok()) {
      target.health().recordLateSuccess(missedNanos, loop.nowNanos() - reply.sentNanos());
    }
  }

  /** Counts a read of {@code group} that is tried again at another target. */
  void recordRetry(String group, String reason) {
    if (isActive(group)) {
      metrics.recordReadRetried(reason);
    }
  }

  /** Returns the number of targets that get no reads but probes. */
  int passedOverCount() {
    int count = 0;
    for (TargetState target : loggedStates.keySet()) {
      count += target.health().isPassedOver() ? 1 : 0;
    }
    return count;
  }

  void onTargetRemoved(TargetState target) {
    loggedStates.remove(target);
  }

  void tick() {
    for (GroupState group : directory.groups()) {
      boolean active = isActive(group.name());
      if (active) {
        OutlierEjection.update(group, loop.nowNanos());
      }
      for (TargetState target : group.targets()) {
        if (active) {
          logChange(target);
        } else if (loggedStates.remove(target) != null) {
          target.resetHealth();
        }
      }
    }
  }

  private void logChange(TargetState target) {
    TargetHealth health = target.health();
    State before = loggedStates.put(target, health.state());
    if (before == health.state() || before == null && health.state() == State.HEALTHY) {
      return;
    }
    long nowNanos = loop.nowNanos();
    Logger.info(
        "event=target_health target={} state={} failures={} outcomes={}",
        target.entry().id(),
        health.state().name().toLowerCase(Locale.ROOT),
        health.failures(nowNanos),
        health.outcomes(nowNanos));
  }
}
