package io.hickorydrift.core.failover;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetView;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One attempt to make a new primary under one term.
 *
 * <p>Invariants: no target is promoted before a majority has accepted the fence of this term; at
 * most one target is ever asked to become primary of the term; it is the one with the highest last
 * entry among the fenced.
 *
 * <p>Thread safety: confined to one thread.
 */
final class Promotion {
  private final long term;
  private long startedNanos;
  private final Map<String, Position> fenced = new LinkedHashMap<>();
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

  /** Grants the attempt its time once more, from {@code nowNanos}. */
  void restartTimeout(long nowNanos) {
    startedNanos = nowNanos;
  }

  /** Notes a fenced target and returns the target to promote now, or null. */
  String recordFenced(String target, Position lastEntry, GroupView view) {
    fenced.put(target, lastEntry == null ? Positions.START : lastEntry);
    if (chosen != null) {
      return null;
    }
    chosen = best(view, false);
    if (chosen == null && fenced.size() == view.targets().size()) {
      chosen = best(view, true);
    }
    return chosen;
  }

  /** Returns the target to promote once no further fence answer is to be expected, or null. */
  String chooseAfterTimeout(GroupView view) {
    if (chosen == null) {
      chosen = best(view, true);
      return chosen;
    }
    return null;
  }

  private String best(GroupView view, boolean evenLeaving) {
    String best = null;
    int counted = 0;
    for (TargetView target : view.targets()) {
      Position lastEntry = fenced.get(target.id());
      if (lastEntry == null || (target.leaving() && !evenLeaving)) {
        continue;
      }
      counted++;
      if (best == null || Positions.compare(lastEntry, fenced.get(best)) > 0) {
        best = target.id();
      }
    }
    return counted >= view.majority() ? best : null;
  }
}
