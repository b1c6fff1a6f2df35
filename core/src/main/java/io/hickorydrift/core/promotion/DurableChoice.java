package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

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
 * <p>Invariant: a report counts while its target is registered as the same process, for {@value
 * #MAX_REPORT_AGE_MS} ms: a primary that this instance does not reach may go on acknowledging
 * commits that the target receives after its report. Thread safety: confined to one thread.
 */
public final class DurableChoice {
  // Each target is queried several times in this time.
  private static final long MAX_REPORT_AGE_MS = 1_000;
  private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(MAX_REPORT_AGE_MS);

  private record Report(Position position, long receivedNanos) {}

  private final GroupState group;
  private final Map<TargetState, Report> reports = new HashMap<>();
  private final Set<TargetState> paused = new HashSet<>();
  private final TargetState primary;
  private int syncReplicas;
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

  /** Sets the number of replicas that must receive a commit before it is acknowledged. */
  public void setSyncReplicas(int newSyncReplicas) {
    syncReplicas = newSyncReplicas;
  }

  /**
   * Records the last position in the log of {@code target}.
   *
   * @param sentNanos time at which the query was sent
   * @param receivedNanos time at which the answer was received
   */
  public void report(TargetState target, Position position, long sentNanos, long receivedNanos) {
    if (target == primary) {
      primaryPosition = position;
      primaryReportNanos = sentNanos;
      group.observedPositions().add(position, sentNanos);
    } else {
      reports.put(target, new Report(position, receivedNanos));
    }
  }

  /** Records whether {@code target} is paused, so that a promotion of another one was intended. */
  public void setPaused(TargetState target, boolean isPaused) {
    if (isPaused) {
      paused.add(target);
    } else {
      paused.remove(target);
    }
  }

  /** Returns the target to promote, or null if an acknowledged commit could be lost by that. */
  public TargetState choose(long nowNanos) {
    Map<TargetState, Position> received = received(nowNanos);
    if (primaryReports(nowNanos)) {
      TargetState staying = PromotionCandidates.mostAdvanced(received, nowNanos);
      boolean caughtUp =
          staying != null && Positions.reaches(received.get(staying), primaryPosition);
      return caughtUp ? preferReceiving(staying, received) : null;
    }
    boolean enough = received.size() >= neededReports(nowNanos);
    return enough
        ? preferReceiving(PromotionCandidates.mostAdvancedOfAll(received, nowNanos), received)
        : null;
  }

  /**
   * Returns a target as fit as {@code best} that is not paused, if there is one: a request for the
   * other one may still be carried out.
   */
  private TargetState preferReceiving(TargetState best, Map<TargetState, Position> received) {
    if (!paused.contains(best)) {
      return best;
    }
    for (Map.Entry<TargetState, Position> each : received.entrySet()) {
      boolean fit =
          !paused.contains(each.getKey())
              && Positions.reaches(each.getValue(), received.get(best))
              && each.getKey().isLeaving() == best.isLeaving();
      if (fit) {
        return each.getKey();
      }
    }
    return best;
  }

  /** Returns whether {@code target} has reported a log that reaches that of {@code other}. */
  public boolean reaches(TargetState target, TargetState other, long nowNanos) {
    Position position = receivedBy(target, nowNanos);
    return position != null && Positions.reaches(position, receivedBy(other, nowNanos));
  }

  /** Returns the target with the most advanced log that was reported, or null without reports. */
  public TargetState mostAdvanced(long nowNanos) {
    return PromotionCandidates.mostAdvancedOfAll(received(nowNanos), nowNanos);
  }

  /** Returns whether the primary that is replaced has reported its position just now. */
  public boolean primaryReports(long nowNanos) {
    return primaryPosition != null && nowNanos - primaryReportNanos <= MAX_REPORT_AGE_NANOS;
  }

  /** Returns the position that {@code target} has reported just now, or null. */
  public Position receivedBy(TargetState target, long nowNanos) {
    return received(nowNanos).get(target);
  }

  /** Returns the number of replicas that have reported just now. */
  public int reports(long nowNanos) {
    return received(nowNanos).size();
  }

  /** Returns the number of replicas of which reports are needed. */
  public int neededReports(long nowNanos) {
    return Math.max(1, replicas().size() + departed(nowNanos).size() - syncReplicas + 1);
  }

  /**
   * Returns the number of replicas beside the target to promote that have to be paused, so that
   * each further commit is in its log before it is acknowledged ({@link ReplicaHold}).
   */
  public int neededPauses(long nowNanos) {
    return primaryReports(nowNanos)
        ? Math.max(0, replicas().size() - syncReplicas)
        : neededReports(nowNanos) - 1;
  }

  private List<TargetState> replicas() {
    List<TargetState> replicas = new ArrayList<>(group.targets());
    replicas.remove(primary);
    return replicas;
  }

  /** Returns the ids of departed targets that may hold commits which no reported log has. */
  private List<String> departed(long nowNanos) {
    Map<TargetState, Position> received = received(nowNanos);
    TargetState best = PromotionCandidates.mostAdvancedOfAll(received, nowNanos);
    return group.logHolders().beyond(received.get(best), group.targets(), nowNanos);
  }

  /**
   * Returns what the choice rests on, for logs: the reports, those that are too old included, the
   * replicas that have not reported, and the departed targets that count as such.
   */
  public String describe(long nowNanos) {
    String reported =
        reports.entrySet().stream()
            .map(each -> describe(each.getKey(), each.getValue(), nowNanos))
            .sorted()
            .collect(Collectors.joining(","));
    String missing =
        group.targets().stream()
            .filter(each -> each != primary && !reports.containsKey(each))
            .map(each -> each.entry().id())
            .sorted()
            .collect(Collectors.joining(","));
    return "reports=\""
        + reported
        + "\" missing=\""
        + missing
        + "\" departed=\""
        + String.join(",", departed(nowNanos))
        + "\" counted="
        + reports(nowNanos)
        + " needed="
        + neededReports(nowNanos)
        + " sync_replicas="
        + syncReplicas
        + " primary_reports="
        + primaryReports(nowNanos);
  }

  private static String describe(TargetState target, Report report, long nowNanos) {
    long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - report.receivedNanos);
    return target.entry().id() + "@" + report.position + "/" + ageMs + "ms";
  }

  /** Returns the positions that were reported just now by targets that are registered. */
  private Map<TargetState, Position> received(long nowNanos) {
    reports.keySet().retainAll(group.targets());
    Map<TargetState, Position> received = new HashMap<>();
    reports.forEach(
        (target, report) -> {
          if (nowNanos - report.receivedNanos <= MAX_REPORT_AGE_NANOS) {
            received.put(target, report.position);
          }
        });
    return received;
  }
}
