package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Sends a read to the least loaded replica that is known to be fresh enough for it, then to the
 * primary, then to replicas that may have become fresh enough unnoticed.
 */
public final class FreshReplicaFirst implements TargetChooser {
  @Override
  public List<TargetView> rank(
      GroupView view, ReadRequest demand, Set<String> tried, long nowNanos) {
    List<TargetView> fresh = new ArrayList<>();
    List<TargetView> doubtful = new ArrayList<>();
    for (TargetView target : view.targets()) {
      boolean usable =
          !target.leaving() && !tried.contains(target.id()) && !target.isAvoided(nowNanos);
      if (!usable || target.id().equals(view.primary())) {
        continue;
      }
      (freshEnough(view, target, demand, nowNanos) ? fresh : doubtful).add(target);
    }
    fresh.sort(Comparator.comparingInt(TargetView::inFlight));
    List<TargetView> ranked = new ArrayList<>(fresh);
    TargetView primary = view.target(view.primary());
    if (primary != null && !tried.contains(primary.id())) {
      ranked.add(primary);
    }
    ranked.addAll(doubtful);
    return ranked;
  }

  private static boolean freshEnough(
      GroupView view, TargetView target, ReadRequest demand, long nowNanos) {
    return target.answeredInTerm()
        && Positions.reaches(target.applied(), demand.sessionPosition())
        && demand.acceptsAge(view.ageBoundNanos(target.applied(), nowNanos), nowNanos);
  }
}
