package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the target to promote in a group that acknowledges a commit only once a number of
 * replicas has received it. Load pattern: the primary is lost while some of its replicas are slow,
 * silent, leaving or gone, and others have received nothing for seconds.
 *
 * <p>Each acknowledged commit is in the logs of as many replicas as the group demands. So among
 * reports of all replicas but one less than that, one at least is of a log that has all of them;
 * logs are prefixes of each other, so that it is the most advanced one. Until there are that many
 * reports, counting {@link io.hickorydrift.core.directory.LogHolders} as replicas that do not
 * report, nothing is chosen. A leaving target is chosen if no other is as advanced: the others then
 * receive its log, and one of them replaces it.
 *
 * <p>While the primary still reports its position, a replica that stays has to reach that.
 *
 * <p>Invariant: a report counts as long as its target is registered as the same process. Thread
 * safety: confined to one thread.
 */
public final class DurableChoice {
  // The primary is queried several times in this time.
  private static final long PRIMARY_REPORT_NANOS = 1_000_000_000L;

  private final GroupState group;
  private final int syncReplicas;
  private final Map<TargetState, Position> received = new HashMap<>();
  private final TargetState primary;
  private Position primaryPosition;
  private long primaryReportNanos;

  /**
   * Creates a choice without reports.
   *
   * @param syncReplicas number of replicas that must receive a commit before it is acknowledged
   * @param primary the primary that is replaced, or null
   */
  public DurableChoice(GroupState group, int syncReplicas, TargetState primary) {
    this.group = group;
    this.syncReplicas = syncReplicas;
    this.primary = primary;
  }

  /** Records the last position in the log of {@code target}, queried at {@code sentNanos}. */
  public void report(TargetState target, Position position, long sentNanos) {
    if (target == primary) {
      primaryPosition = position;
      primaryReportNanos = sentNanos;
      group.observedPositions().add(position, sentNanos);
    } else {
      received.put(target, position);
    }
  }

  /** Returns the target to promote, or null if an acknowledged commit could be lost by that. */
  public TargetState choose(long nowNanos) {
    forgetUnregistered();
    if (primaryReports(nowNanos)) {
      TargetState staying = PromotionCandidates.mostAdvanced(received, nowNanos);
      boolean caughtUp =
          staying != null && Positions.reaches(received.get(staying), primaryPosition);
      return caughtUp ? staying : null;
    }
    return received.size() >= neededReports(nowNanos) ? mostAdvanced(nowNanos) : null;
  }

  /** Returns the target with the most advanced log that was reported, or null without reports. */
  public TargetState mostAdvanced(long nowNanos) {
    forgetUnregistered();
    return PromotionCandidates.mostAdvancedOfAll(received, nowNanos);
  }

  /** Returns whether the primary that is replaced has reported its position just now. */
  public boolean primaryReports(long nowNanos) {
    return primaryPosition != null && nowNanos - primaryReportNanos <= PRIMARY_REPORT_NANOS;
  }

  /** Returns the position that {@code target} has reported, or null. */
  public Position receivedBy(TargetState target) {
    return received.get(target);
  }

  /** Returns the number of replicas that have reported. */
  public int reports() {
    return received.size();
  }

  /** Returns the number of replicas of which reports are needed. */
  public int neededReports(long nowNanos) {
    List<TargetState> replicas = new ArrayList<>(group.targets());
    replicas.remove(primary);
    TargetState best = PromotionCandidates.mostAdvancedOfAll(received, nowNanos);
    Position bestPosition = best == null ? null : received.get(best);
    int others = group.logHolders().countBeyond(bestPosition, group.targets(), nowNanos);
    return Math.max(1, replicas.size() + others - syncReplicas + 1);
  }

  private void forgetUnregistered() {
    received.keySet().retainAll(group.targets());
  }
}
