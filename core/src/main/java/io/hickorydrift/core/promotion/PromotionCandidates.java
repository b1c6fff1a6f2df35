package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.Comparator;
import java.util.Map;

/**
 * Chooses the target to promote: of the targets that answered, the one with the latest received
 * position, because commits that it has not received are lost. Of several such targets, one that is
 * not slow after its start is preferred, then one near the writers ({@link RegionPreference}).
 *
 * <p>Thread safety: stateless.
 */
public final class PromotionCandidates {
  private PromotionCandidates() {}

  /** Returns the target with the latest position that is not leaving, or null if there is none. */
  public static TargetState mostAdvanced(Map<TargetState, Position> received, long nowNanos) {
    return mostAdvanced(received, RegionPreference.NONE, nowNanos);
  }

  /**
   * Returns the target with the latest position that is not leaving, or null if there is none. The
   * preference only decides among equally advanced targets of the same warmth.
   */
  public static TargetState mostAdvanced(
      Map<TargetState, Position> received, RegionPreference preference, long nowNanos) {
    Comparator<TargetState> order =
        byPosition(received)
            .thenComparing(target -> !target.isCold(nowNanos))
            .thenComparing(target -> target.entry().failureDomain(), preference);
    return received.keySet().stream().filter(each -> !each.isLeaving()).max(order).orElse(null);
  }

  /**
   * Returns the target with the latest position, or null if there is none. Of several such targets,
   * one that is not leaving is preferred, then one that is draining to one in an evacuated failure
   * domain.
   */
  static TargetState mostAdvancedOfAll(Map<TargetState, Position> received, long nowNanos) {
    Comparator<TargetState> order =
        byPosition(received)
            .thenComparing(target -> !target.isLeaving())
            .thenComparing(target -> !target.isEvacuated())
            .thenComparing(target -> !target.isCold(nowNanos));
    return received.keySet().stream().max(order).orElse(null);
  }

  private static Comparator<TargetState> byPosition(Map<TargetState, Position> received) {
    return Comparator.comparing(received::get, Positions::compare);
  }
}
