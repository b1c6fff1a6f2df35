package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.statement.TargetReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which replicas are paused before the promotion of a candidate is requested, and when it
 * may be requested. Load pattern: the former primary goes on committing until the request is
 * carried out, which may be seconds later, while the candidate receives nothing.
 *
 * <p>A commit is acknowledged once k of the n replicas have received it. While n - k of those
 * beside the candidate are paused, no commit is acknowledged that the candidate lacks, through
 * whichever instance it was sent. Those acknowledged before are in its log once it reaches the logs
 * of the paused replicas: of the k that have a commit, at most k - 1 are neither paused nor the
 * candidate. Replicas that do not know how to pause are left out: commits of a group of such
 * targets are not protected, but its primary is replaced.
 *
 * <p>Invariant: the candidate's log is compared as of a query that was sent after the last replica
 * had confirmed that it is paused. Thread safety: confined to one thread.
 */
public final class ReplicaHold {
  /** A replica that receives nothing, and its log since then. */
  private record Paused(Position received, long sinceNanos) {}

  private final TargetState candidate;
  private final Map<TargetState, Paused> paused = new LinkedHashMap<>();
  private final Map<TargetState, Integer> unanswered = new HashMap<>();
  private final Set<TargetState> unsupported = new HashSet<>();
  private Position candidateReceived;
  private long candidateQueriedNanos;
  private boolean candidateReported;
  private long newestTerm;

  /**
   * Creates a hold for the promotion of {@code candidate}; no replica is known to be paused.
   *
   * @param newestTerm newest term that a target of the group has reported
   */
  public ReplicaHold(TargetState candidate, long newestTerm) {
    this.candidate = candidate;
    this.newestTerm = newestTerm;
  }

  /**
   * Records a report of {@code target}.
   *
   * @param sentNanos time at which it was requested
   * @param receivedNanos time at which it was received
   */
  public void report(TargetState target, TargetReport report, long sentNanos, long receivedNanos) {
    newestTerm = Math.max(newestTerm, report.term());
    if (target == candidate) {
      boolean newer = !candidateReported || sentNanos - candidateQueriedNanos > 0;
      if (newer) {
        candidateReported = true;
        candidateReceived = report.received();
        candidateQueriedNanos = sentNanos;
      }
    } else if (!report.isPaused()) {
      paused.remove(target);
    } else {
      Paused known = paused.get(target);
      long sinceNanos = known == null ? receivedNanos : known.sinceNanos;
      paused.put(target, new Paused(report.received(), sinceNanos));
    }
  }

  /** Records that {@code target} has not confirmed in time that it is paused. */
  public void recordUnanswered(TargetState target) {
    unanswered.merge(target, 1, Integer::sum);
  }

  /** Records that {@code target} does not know how to pause. */
  public void recordUnsupported(TargetState target) {
    unsupported.add(target);
  }

  /** Returns the term with which replicas are to be paused. */
  public long pauseTerm() {
    return newestTerm + 1;
  }

  /** Returns the replicas that are known to receive nothing. */
  public List<TargetState> paused() {
    return List.copyOf(paused.keySet());
  }

  /**
   * Returns those of {@code others} that are to be paused so that {@code needed} are. Replicas that
   * answer are preferred.
   *
   * @param others registered replicas beside the candidate
   */
  public List<TargetState> due(Collection<TargetState> others, int needed) {
    paused.keySet().retainAll(others);
    List<TargetState> due = new ArrayList<>(others);
    due.removeIf(each -> paused.containsKey(each) || unsupported.contains(each));
    due.sort(Comparator.comparingInt(each -> unanswered.getOrDefault(each, 0)));
    int count = Math.max(0, needed - paused.size());
    return due.subList(0, Math.min(count, due.size()));
  }

  /** Returns whether the candidate has, and will have, all commits that are acknowledged. */
  public boolean isComplete(Collection<TargetState> others, int needed) {
    paused.keySet().retainAll(others);
    long supporting = others.stream().filter(each -> !unsupported.contains(each)).count();
    if (paused.size() < Math.min(needed, supporting)) {
      return false;
    }
    for (Paused each : paused.values()) {
      boolean later = candidateReported && candidateQueriedNanos - each.sinceNanos >= 0;
      if (!later || !Positions.reaches(candidateReceived, each.received)) {
        return false;
      }
    }
    return true;
  }
}
