package io.hickorydrift.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the order of positions and of the fencing tokens made from them. */
class StorePositionTest {
  private static final long MAX_ERA = 4_000_000;
  private static final long MAX_REVISION = 1_000_000_000_000L;

  @Property(seed = "20261204")
  void tokensAreOrderedAsPositions(
      @ForAll @LongRange(max = MAX_ERA) long era,
      @ForAll @LongRange(max = MAX_REVISION) long revision,
      @ForAll @LongRange(max = MAX_ERA) long otherEra,
      @ForAll @LongRange(max = MAX_REVISION) long otherRevision) {
    StorePosition position = new StorePosition(era, revision);
    StorePosition other = new StorePosition(otherEra, otherRevision);
    assertThat(Long.compare(position.fencingToken(), other.fencingToken()))
        .isEqualTo(Integer.signum(position.compareTo(other)));
  }

  @Property(seed = "20261204")
  void tokenOfNewEraIsAboveAllOfTheEraBefore(
      @ForAll @LongRange(max = MAX_ERA) long era,
      @ForAll @LongRange(max = MAX_REVISION) long revision) {
    assertThat(new StorePosition(era + 1, 0).fencingToken())
        .isGreaterThan(new StorePosition(era, revision).fencingToken());
  }

  @Test
  void tokenWithoutErasIsTheRevision() {
    assertThat(new StorePosition(0, 530).fencingToken()).isEqualTo(530);
  }
}
