package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds replicas that stay paused: a promotion for which they were paused was requested by an
 * instance that has died since, or that does not reach the store any more.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PausedReplicaWatch {
  private static final long INTERVAL_NANOS = 1_000_000_000L;
  private static final long TIMEOUT_MS = 500;
  // Longer than replicas are paused for a promotion that takes its course.
  private static final long STAYS_PAUSED_NANOS = 3_000_000_000L;

  private final PositionQueries queries;
  private final Map<String, Long> polledNanos = new HashMap<>();
  private final Map<TargetState, Long> pausedSinceNanos = new HashMap<>();

  PausedReplicaWatch(PositionQueries queries) {
    this.queries = queries;
  }

  /** Requests reports of the replicas of {@code group} if they are due. */
  void poll(GroupState group, long nowNanos) {
    Long lastNanos = polledNanos.get(group.name());
    if (lastNanos != null && nowNanos - lastNanos < INTERVAL_NANOS) {
      return;
    }
    polledNanos.put(group.name(), nowNanos);
    for (TargetState replica : group.replicas()) {
      queries.request(
          replica,
          new TargetCommand.Report(),
          TIMEOUT_MS,
          report -> record(replica, report, nowNanos));
    }
  }

  private void record(TargetState replica, TargetReport report, long nowNanos) {
    if (report != null && report.isPaused()) {
      pausedSinceNanos.putIfAbsent(replica, nowNanos);
    } else if (report != null) {
      pausedSinceNanos.remove(replica);
    }
  }

  /** Returns whether a replica of {@code group} has been paused for a long time. */
  boolean staysPaused(GroupState group, long nowNanos) {
    for (TargetState target : group.targets()) {
      Long sinceNanos = pausedSinceNanos.get(target);
      if (sinceNanos != null && nowNanos - sinceNanos >= STAYS_PAUSED_NANOS) {
        return true;
      }
    }
    return false;
  }

  /** Forgets what was reported of the replicas of {@code group}. */
  void reset(GroupState group) {
    group.targets().forEach(pausedSinceNanos::remove);
  }

  void onTargetRemoved(TargetState target) {
    pausedSinceNanos.remove(target);
  }
}
