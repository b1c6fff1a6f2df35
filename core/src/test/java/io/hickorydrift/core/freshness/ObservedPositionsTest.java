package io.hickorydrift.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ObservedPositionsTest {
  private static final long MS = 1_000_000L;

  @Test
  void takesTheOldestSightingThatIsYoungEnough() {
    ObservedPositions sightings = new ObservedPositions();
    sightings.add(new Position(1, 1), 0);
    sightings.add(new Position(1, 5), 100 * MS);
    sightings.add(new Position(1, 9), 200 * MS);
    assertThat(sightings.lowerBound(50 * MS)).isEqualTo(new Position(1, 5));
    assertThat(sightings.lowerBound(250 * MS)).isNull();
  }

  @Test
  void forgetsEverythingWhenTimeWasLost() {
    ObservedPositions sightings = new ObservedPositions();
    sightings.add(new Position(1, 1), 0);
    sightings.clear();
    assertThat(sightings.lowerBound(-1)).isNull();
    assertThat(sightings.latest()).isNull();
  }

  /** Whatever is seen when, a bound covers every commit that was there at the asked time. */
  @Property(tries = 500, seed = "11")
  void boundCoversAllCommitsBeforeTheAskedTime(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 4_000) int askMs) {
    Random random = new Random(seed);
    ObservedPositions sightings = new ObservedPositions();
    long[] committedMs = new long[200];
    for (int i = 1; i < committedMs.length; i++) {
      committedMs[i] = committedMs[i - 1] + random.nextInt(40);
    }
    for (int i = 0; i < 300; i++) {
      long atMs = random.nextInt(4_000);
      int index = 0;
      while (index + 1 < committedMs.length && committedMs[index + 1] <= atMs) {
        index++;
      }
      sightings.add(new Position(1, index), atMs * MS);
    }
    Position bound = sightings.lowerBound(askMs * MS);
    if (bound == null) {
      return;
    }
    int needed = 0;
    while (needed + 1 < committedMs.length && committedMs[needed + 1] <= askMs) {
      needed++;
    }
    assertThat(Positions.reaches(bound, new Position(1, needed)))
        .as("%s must reach %s", bound, List.of(needed))
        .isTrue();
  }
}
