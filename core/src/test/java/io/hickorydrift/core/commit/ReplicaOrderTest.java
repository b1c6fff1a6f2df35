package io.hickorydrift.core.commit;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against commits that wait for a replica in another region although a near one has it. */
class ReplicaOrderTest {
  private static final Regions REGIONS = new Regions(Map.of("a", "r1", "b", "r1", "c", "r2"));

  private static List<TargetState> replicas(String... domains) {
    Directory directory = new Directory(removed -> {});
    for (String domain : domains) {
      TargetEntry entry =
          new TargetEntry("in-" + domain, "g", "127.0.0.1:1", domain, 3, false, false, 1, 1);
      directory.put(entry, new StorePosition(0, 1));
    }
    return new ArrayList<>(directory.group("g").targets());
  }

  private static List<String> domains(List<TargetState> replicas) {
    return replicas.stream().map(replica -> replica.entry().failureDomain()).toList();
  }

  @Test
  void ownDomainComesFirstAndOtherRegionLast() {
    ReplicaOrder order = new ReplicaOrder("b", REGIONS);
    assertThat(domains(order.nearestFirst(replicas("c", "a", "b")))).containsExactly("b", "a", "c");
  }

  @Test
  void onlyReplicasOfAnotherRegionAreFar() {
    ReplicaOrder order = new ReplicaOrder("a", REGIONS);
    List<TargetState> replicas = replicas("b", "c");
    assertThat(order.isInOtherRegion(replicas.get(0))).isFalse();
    assertThat(order.isInOtherRegion(replicas.get(1))).isTrue();
  }

  @Test
  void withoutRegionsNothingIsFar() {
    ReplicaOrder order = new ReplicaOrder("a", Regions.NONE);
    assertThat(order.isInOtherRegion(replicas("c").get(0))).isFalse();
  }
}
