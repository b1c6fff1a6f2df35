package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.store.StorePosition;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against a primary far from its writers while an equally advanced target is near them, and
 * against commits that are lost because a less advanced target is near them.
 */
class RegionPreferenceTest {
  private static final Regions REGIONS = new Regions(Map.of("n1", "north", "s1", "south"));
  private static final List<String> DOMAINS = List.of("n1", "s1");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private Directory directory = new Directory(target -> {});
  private Map<TargetState, Position> received = new LinkedHashMap<>();

  private TargetState add(String id, String domain, Position position) {
    directory.put(
        new TargetEntry(id, "g", "host:" + id, domain, 4, false, false, 1, 1),
        new StorePosition(0, 1));
    TargetState target =
        directory.group("g").targets().stream()
            .filter(each -> each.entry().id().equals(id))
            .findFirst()
            .orElseThrow();
    received.put(target, position);
    return target;
  }

  private TargetState choose(long northWrites, long southWrites, Set<String> regionsWithStore) {
    Map<String, Long> writes = Map.of("north", northWrites, "south", southWrites);
    return PromotionCandidates.mostAdvanced(
        received, new RegionPreference(REGIONS, writes, regionsWithStore), 0);
  }

  @Property(tries = 1_000, seed = "20261211")
  void writersDecideOnlyAmongEquallyAdvancedTargetsOfSameWarmth(
      @ForAll @IntRange(min = 1, max = 6) int targets,
      @ForAll @Size(6) List<@IntRange(min = 1, max = 2) Integer> terms,
      @ForAll @Size(6) List<@IntRange(min = 1, max = 3) Integer> indexes,
      @ForAll @Size(6) List<@IntRange(min = 0, max = 1) Integer> domains,
      @ForAll @Size(6) List<Boolean> cold,
      @ForAll @LongRange(min = 0, max = 3) long northWrites,
      @ForAll @LongRange(min = 0, max = 3) long southWrites,
      @ForAll boolean northHasStore) {
    // All tries of a property share one instance of this class.
    directory = new Directory(target -> {});
    received = new LinkedHashMap<>();
    for (int i = 0; i < targets; i++) {
      Position position = new Position(terms.get(i), indexes.get(i));
      TargetState target = add("t" + i, DOMAINS.get(domains.get(i)), position);
      if (cold.get(i)) {
        target.setColdUntil(1);
      }
    }
    String withStore = northHasStore ? "north" : "south";
    TargetState chosen = choose(northWrites, southWrites, Set.of(withStore));
    Map<String, Long> writes = Map.of("north", northWrites, "south", southWrites);
    for (TargetState other : received.keySet()) {
      int order = Positions.compare(received.get(chosen), received.get(other));
      assertThat(order).isNotNegative();
      if (order == 0 && chosen.isCold(0)) {
        assertThat(other.isCold(0)).isTrue();
      }
      if (order == 0 && chosen.isCold(0) == other.isCold(0)) {
        String region = REGIONS.regionOf(chosen.entry().failureDomain());
        String otherRegion = REGIONS.regionOf(other.entry().failureDomain());
        assertThat(writes.get(region)).isGreaterThanOrEqualTo(writes.get(otherRegion));
        if (writes.get(region).equals(writes.get(otherRegion)) && otherRegion.equals(withStore)) {
          assertThat(region).isEqualTo(withStore);
        }
      }
    }
  }

  @Test
  void equallyAdvancedTargetNearTheWritersIsChosen() {
    TargetState north = add("t0", "n1", new Position(2, 7));
    TargetState south = add("t1", "s1", new Position(2, 7));
    assertThat(choose(10, 11, Set.of("north"))).isSameAs(south);
    assertThat(choose(11, 10, Set.of("south"))).isSameAs(north);
    assertThat(choose(10, 10, Set.of("south"))).isSameAs(south);
  }

  @Test
  void lessAdvancedTargetNearTheWritersIsNotChosen() {
    TargetState north = add("t0", "n1", new Position(2, 8));
    add("t1", "s1", new Position(2, 7));
    assertThat(choose(0, 1_000, Set.of("south"))).isSameAs(north);
  }

  /** Guards against an effect on fleets whose settings name no regions. */
  @Test
  void withoutRegionsWritersDecideNothing() {
    RegionPreference preference =
        new RegionPreference(Regions.NONE, Map.of("", 5L, "n1", 1L, "s1", 9L), Set.of("s1"));
    assertThat(preference.compare("n1", "s1")).isZero();
  }

  /** Guards against a choice by writers that have moved to another region. */
  @Test
  void writesCountForSixtySeconds() {
    RecentWrites writes = new RecentWrites();
    writes.record("north", 5, -3 * SECOND_NANOS);
    writes.record("north", 1, SECOND_NANOS);
    writes.record("south", 2, 30 * SECOND_NANOS);
    assertThat(writes.byRegion(57 * SECOND_NANOS)).isEqualTo(Map.of("north", 6L, "south", 2L));
    assertThat(writes.byRegion(61 * SECOND_NANOS)).isEqualTo(Map.of("north", 1L, "south", 2L));
    assertThat(writes.byRegion(95 * SECOND_NANOS)).isEmpty();
  }
}
