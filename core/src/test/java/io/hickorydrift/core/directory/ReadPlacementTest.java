package io.hickorydrift.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.store.StorePosition;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads that cross regions while a target of their own region would complete them
 * sooner, and against reads that wait in their region although its targets cannot run them.
 */
class ReadPlacementTest {
  private static final Regions REGIONS =
      new Regions(Map.of("n1", "north", "n2", "north", "s1", "south"));
  private static final Position POSITION = new Position(1, 5);
  private static final int SLOTS = 4;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long ROUND_TRIP_MS = 60;

  private Directory directory = new Directory(target -> {});
  private final ReadPlacement south = new ReadPlacement("s1", REGIONS);

  private TargetState add(String id, String domain, boolean primary) {
    directory.put(
        new TargetEntry(id, "g", "host:1", domain, SLOTS, false, primary, 1, 1),
        new StorePosition(0, 1));
    return directory.group("g").targets().stream()
        .filter(target -> target.entry().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private static void answered(TargetState target, long ms) {
    target.recordSent();
    target.recordAnswered(ms * NANOS_PER_MS);
  }

  private static void send(TargetState target, int statements) {
    for (int i = 0; i < statements; i++) {
      target.recordSent();
    }
  }

  private TargetState choose(String organisation) {
    return south.choose(
        directory.group("g"), organisation, POSITION, Set.of(), mayRun -> true, any -> true, 0);
  }

  @Property(tries = 500, seed = "20261212")
  void readLeavesItsRegionOnlyIfThatIsSooner(
      @ForAll @IntRange(min = 1, max = 40) int serviceMs,
      @ForAll @IntRange(min = 0, max = 120) int localOutstanding,
      @ForAll @IntRange(min = 0, max = 40) int distantOutstanding,
      @ForAll @IntRange(min = 0, max = 50) int organisation) {
    // All tries of a property share one instance of this class.
    directory = new Directory(target -> {});
    TargetState local = add("local", "s1", false);
    TargetState distant = add("distant", "n1", false);
    answered(local, serviceMs);
    send(local, localOutstanding);
    send(distant, distantOutstanding);
    double localMs = (double) localOutstanding / SLOTS * serviceMs;
    double distantMs = ROUND_TRIP_MS + (double) distantOutstanding / SLOTS * serviceMs;
    if (choose("org-" + organisation) == distant) {
      assertThat(localMs).isGreaterThanOrEqualTo(distantMs);
    } else {
      // The read of an organisation changes replicas only for a clear advantage.
      assertThat(localMs).isLessThanOrEqualTo(distantMs + serviceMs);
    }
  }

  /** A queue makes answers slow; that must not make the way to another region seem short. */
  @Test
  void answersThatWaitedInQueueDoNotMakeTheOtherRegionCheaper() {
    TargetState local = add("local", "s1", false);
    final TargetState distant = add("distant", "n1", false);
    answered(local, 10);
    send(local, 4 * SLOTS);
    for (int i = 0; i < 20; i++) {
      local.recordSent();
      local.recordAnswered(40 * NANOS_PER_MS);
    }
    assertThat(choose("red")).isSameAs(local).isNotSameAs(distant);
  }

  @Test
  void primaryOfTheRegionIsPreferredToReplicasOfAnother() {
    TargetState local = add("local", "s1", true);
    add("distant", "n1", false);
    assertThat(choose("red")).isSameAs(local);
  }

  @Test
  void readLeavesRegionWhoseOnlyTargetIsAvoided() {
    TargetState local = add("local", "s1", false);
    TargetState distant = add("distant", "n1", false);
    answered(local, 1);
    local.avoidUntil(100);
    assertThat(choose("red")).isSameAs(distant);
  }

  @Test
  void withoutRegionsDomainsDifferAsBefore() {
    ReadPlacement placement = new ReadPlacement("s1", Regions.NONE);
    TargetState near = add("near", "s1", false);
    TargetState far = add("far", "n1", false);
    send(near, 3 * SLOTS);
    assertThat(
            placement.choose(
                directory.group("g"), "red", POSITION, Set.of(), mayRun -> true, any -> true, 0))
        .isSameAs(far);
  }
}
