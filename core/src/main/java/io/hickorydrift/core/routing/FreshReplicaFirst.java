package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Ranks the replicas that are known to be fresh enough for a read first, those with the fewest
 * exchanges in flight before the others, then the primary, then replicas that may have caught up
 * since their last answer.
 */
public final class FreshReplicaFirst implements TargetChooser {
  @Override
  public List<TargetView> rank(
      GroupView view, ReadRequest request, Set<String> tried, long nowNanos) {
    List<TargetView> fresh = new ArrayList<>();
    List<TargetView> unverified = new ArrayList<>();
    for (TargetView target : view.targets()) {
      boolean usable =
          !target.leaving() && !tried.contains(target.id()) && !target.isAvoided(nowNanos);
      if (!usable || target.id().equals(view.primary())) {
        continue;
      }
      (isKnownFresh(view, target, request, nowNanos) ? fresh : unverified).add(target);
    }
    fresh.sort(Comparator.comparingInt(TargetView::inFlight));
    List<TargetView> ranked = new ArrayList<>(fresh);
    TargetView primary = view.target(view.primary());
    if (primary != null && !tried.contains(primary.id())) {
      ranked.add(primary);
    }
    ranked.addAll(unverified);
    return ranked;
  }

  private static boolean isKnownFresh(
      GroupView view, TargetView target, ReadRequest request, long nowNanos) {
    return target.answeredInTerm()
        && Positions.reaches(target.applied(), request.sessionPosition())
        && request.acceptsAge(view.ageBoundNanos(target.applied(), nowNanos), nowNanos);
  }
}
