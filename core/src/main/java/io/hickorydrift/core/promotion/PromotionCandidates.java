package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.Map;

/**
 * Chooses the target that becomes primary: of those that answered, the one that has received most,
 * since what it lacks is lost.
 *
 * <p>Thread safety: stateless.
 */
public final class PromotionCandidates {
  private PromotionCandidates() {}

  /** Returns the best of {@code received}, or null if there is none. */
  public static TargetState mostAdvanced(Map<TargetState, Position> received) {
    TargetState best = null;
    for (Map.Entry<TargetState, Position> each : received.entrySet()) {
      if (each.getKey().entry().draining()) {
        continue;
      }
      if (best == null || Positions.compare(each.getValue(), received.get(best)) > 0) {
        best = each.getKey();
      }
    }
    return best;
  }
}
