package io.hickorydrift.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.placement.ServingRegion.Work;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads that cross regions needlessly, and statements sent where they may not be.
 */
class ServingRegionTest {
  private static final ServingRegion SOUTH = new ServingRegion("south");
  private static final List<String> HOMES = List.of("east", "north", "south");
  private static final Predicate<String> ANY = region -> true;

  private static Work read(String... targetRegions) {
    return new Work(false, "north", Set.of(targetRegions), ANY);
  }

  @Test
  void readStaysInTheRegionOfItsEntryIfThatHasTarget() {
    assertThat(SOUTH.inOrder(read("north", "south"), HOMES))
        .containsExactly("south", "north", "east");
  }

  @Test
  void readWithoutTargetInItsRegionGoesToThePrimary() {
    assertThat(SOUTH.inOrder(read("north", "east"), HOMES))
        .containsExactly("north", "south", "east");
  }

  @Test
  void statementForThePrimaryGoesToItsRegion() {
    Work write = new Work(true, "north", Set.of("north", "south"), ANY);
    assertThat(SOUTH.inOrder(write, HOMES)).containsExactly("north", "south", "east");
  }

  @Test
  void regionWithoutInstancesIsNotUsed() {
    Work write = new Work(true, "north", Set.of("north", "south"), ANY);
    assertThat(SOUTH.inOrder(write, List.of("south"))).containsExactly("south");
  }

  @Test
  void statementIsSentToNoRegionThatIsNotAllowed() {
    Work write = new Work(true, "north", Set.of("north", "south"), "east"::equals);
    assertThat(SOUTH.inOrder(write, HOMES)).containsExactly("south", "east");
    Work read = new Work(false, "north", Set.of("north", "south"), "north"::equals);
    assertThat(SOUTH.inOrder(read, HOMES)).containsExactly("north", "south");
  }
}
