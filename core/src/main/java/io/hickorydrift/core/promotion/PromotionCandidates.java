package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.Map;

/**
 * Chooses the target to promote: of the targets that answered, the one with the latest received
 * position, because commits that it has not received are lost.
 *
 * <p>Thread safety: stateless.
 */
public final class PromotionCandidates {
  private PromotionCandidates() {}

  /** Returns the target with the latest position that is not leaving, or null if there is none. */
  public static TargetState mostAdvanced(Map<TargetState, Position> received) {
    TargetState mostAdvanced = null;
    for (Map.Entry<TargetState, Position> each : received.entrySet()) {
      if (each.getKey().isLeaving()) {
        continue;
      }
      if (mostAdvanced == null
          || Positions.compare(each.getValue(), received.get(mostAdvanced)) > 0) {
        mostAdvanced = each.getKey();
      }
    }
    return mostAdvanced;
  }
}
