package io.hickorydrift.core.failover;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetView;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One attempt to promote a new primary in one term.
 *
 * <p>Invariants: no target is promoted before a majority has accepted the fence of this term; at
 * most one target is ever requested to become primary of the term; it is the one with the most
 * advanced log among the targets that accepted its FENCE.
 *
 * <p>Thread safety: confined to one thread.
 */
final class Promotion {
  private final long term;
  private long startedNanos;
  private final Map<String, Position> lastEntryByFencedTarget = new LinkedHashMap<>();
  private String chosen;

  Promotion(long term, long startedNanos) {
    this.term = term;
    this.startedNanos = startedNanos;
  }

  long term() {
    return term;
  }

  long startedNanos() {
    return startedNanos;
  }

  /** Restarts the timeout of the attempt at {@code nowNanos}. */
  void restartTimeout(long nowNanos) {
    startedNanos = nowNanos;
  }

  /** Records a fenced target; returns the target to promote now, or null. */
  String recordFenced(String target, Position lastEntry, GroupView view) {
    lastEntryByFencedTarget.put(target, lastEntry == null ? Positions.START : lastEntry);
    if (chosen != null) {
      return null;
    }
    chosen = mostAdvanced(view, false);
    if (chosen == null && lastEntryByFencedTarget.size() == view.targets().size()) {
      chosen = mostAdvanced(view, true);
    }
    return chosen;
  }

  /** Returns the target to promote when no further fence response is expected, or null. */
  String chooseAfterTimeout(GroupView view) {
    if (chosen == null) {
      chosen = mostAdvanced(view, true);
      return chosen;
    }
    return null;
  }

  private String mostAdvanced(GroupView view, boolean includeLeaving) {
    String best = null;
    int eligible = 0;
    for (TargetView target : view.targets()) {
      Position lastEntry = lastEntryByFencedTarget.get(target.id());
      if (lastEntry == null || (target.leaving() && !includeLeaving)) {
        continue;
      }
      eligible++;
      if (best == null || Positions.compare(lastEntry, lastEntryByFencedTarget.get(best)) > 0) {
        best = target.id();
      }
    }
    return eligible >= view.majority() ? best : null;
  }
}
