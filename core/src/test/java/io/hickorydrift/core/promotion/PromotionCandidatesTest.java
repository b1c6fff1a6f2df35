package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.store.StorePosition;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against the promotion of a target that is about to leave. */
class PromotionCandidatesTest {
  private final Evacuations evacuations = new Evacuations();
  private final Directory directory = new Directory(target -> {}, evacuations);
  private final Map<TargetState, Position> received = new HashMap<>();

  private TargetState add(String id, String domain, boolean draining, long index) {
    StorePosition position = new StorePosition(0, 1);
    directory.put(
        new TargetEntry(id, "g", "127.0.0.1:1", domain, 3, draining, false, 1, 1), position);
    TargetState target =
        directory.group("g").targets().stream()
            .filter(each -> each.entry().id().equals(id))
            .findFirst()
            .orElseThrow();
    received.put(target, new Position(1, index));
    return target;
  }

  @Test
  void mostAdvancedOutsideEvacuatedDomainsIsChosen() {
    final TargetState evacuated = add("t0", "a", false, 9);
    add("t1", "b", true, 8);
    final TargetState usable = add("t2", "c", false, 7);
    assertThat(PromotionCandidates.mostAdvanced(received, 0)).isEqualTo(evacuated);
    evacuations.begin("a", new StorePosition(0, 5), 0);
    assertThat(PromotionCandidates.mostAdvanced(received, 0)).isEqualTo(usable);
    evacuations.begin("c", new StorePosition(0, 6), 0);
    assertThat(PromotionCandidates.mostAdvanced(received, 0)).isNull();
    assertThat(directory.group("g").isEvacuated()).isFalse();
    evacuations.begin("b", new StorePosition(0, 7), 0);
    assertThat(directory.group("g").isEvacuated()).isTrue();
  }
}
