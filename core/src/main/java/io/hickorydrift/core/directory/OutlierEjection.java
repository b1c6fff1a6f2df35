package io.hickorydrift.core.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which targets of a group get no new reads but probes: those that fail most, at most half
 * of the targets that accept work. Load pattern: if all targets fail, for example because a kind of
 * statement fails everywhere, passing all of them over would only move the load.
 *
 * <p>Thread safety: stateless.
 */
public final class OutlierEjection {
  private OutlierEjection() {}

  /** Updates the health of the targets of {@code group}. */
  public static void update(GroupState group, long nowNanos) {
    int accepting = 0;
    List<TargetState> failing = new ArrayList<>();
    for (TargetState target : group.targets()) {
      accepting += target.acceptsNewWork() ? 1 : 0;
      if (target.acceptsNewWork() && target.health().isFailing(nowNanos)) {
        failing.add(target);
      }
    }
    failing.sort(worstFirst(nowNanos));
    List<TargetState> passedOver = failing.subList(0, Math.min(failing.size(), accepting / 2));
    for (TargetState target : group.targets()) {
      target.health().passOver(passedOver.contains(target), nowNanos);
    }
  }

  /** Orders by failure share; among equals, the targets that are passed over stay so. */
  private static Comparator<TargetState> worstFirst(long nowNanos) {
    return Comparator.comparingDouble(
            (TargetState target) -> -target.health().failureShare(nowNanos))
        .thenComparing(target -> !target.health().isPassedOver())
        .thenComparing(target -> target.entry().id());
  }
}
