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
  void usesTheOldestObservationWithinTheBound() {
    ObservedPositions observed = new ObservedPositions();
    observed.add(new Position(1, 1), 0);
    observed.add(new Position(1, 5), 100 * MS);
    observed.add(new Position(1, 9), 200 * MS);
    assertThat(observed.lowerBound(50 * MS)).isEqualTo(new Position(1, 5));
    assertThat(observed.lowerBound(250 * MS)).isNull();
  }

  @Test
  void clearDiscardsAllObservations() {
    ObservedPositions observed = new ObservedPositions();
    observed.add(new Position(1, 1), 0);
    observed.clear();
    assertThat(observed.lowerBound(-1)).isNull();
    assertThat(observed.latest()).isNull();
  }

  /** A lower bound covers every commit before its time, for any order of observations. */
  @Property(tries = 500, seed = "11")
  void boundCoversAllCommitsBeforeItsTime(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 4_000) int sinceMs) {
    Random random = new Random(seed);
    ObservedPositions observed = new ObservedPositions();
    long[] committedMs = new long[200];
    for (int i = 1; i < committedMs.length; i++) {
      committedMs[i] = committedMs[i - 1] + random.nextInt(40);
    }
    for (int i = 0; i < 300; i++) {
      long sentMs = random.nextInt(4_000);
      int index = 0;
      while (index + 1 < committedMs.length && committedMs[index + 1] <= sentMs) {
        index++;
      }
      observed.add(new Position(1, index), sentMs * MS);
    }
    Position bound = observed.lowerBound(sinceMs * MS);
    if (bound == null) {
      return;
    }
    int required = 0;
    while (required + 1 < committedMs.length && committedMs[required + 1] <= sinceMs) {
      required++;
    }
    assertThat(Positions.reaches(bound, new Position(1, required)))
        .as("%s must reach %s", bound, List.of(required))
        .isTrue();
  }
}
