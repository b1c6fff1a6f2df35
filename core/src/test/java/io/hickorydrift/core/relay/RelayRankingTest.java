package io.hickorydrift.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RelayRankingTest {
  private static List<RelayRanking.Member> members(int count) {
    List<RelayRanking.Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new RelayRanking.Member("gw-" + i, i % 5 == 0 ? 1.5 : 0));
    }
    return members;
  }

  @Test
  void largeInstancesComeFirst() {
    assertThat(RelayRanking.of("ikeja", members(15)))
        .containsExactlyInAnyOrder("gw-0", "gw-5", "gw-10");
  }

  @Property(tries = 200, seed = "23")
  void rankingDoesNotDependOnTheOrderOfMembers(
      @ForAll @IntRange(min = 0, max = 20) int count, @ForAll long seed) {
    List<RelayRanking.Member> members = members(count);
    List<String> ranked = RelayRanking.of("ikeja", members);
    Collections.shuffle(members, new Random(seed));
    assertThat(RelayRanking.of("ikeja", members)).isEqualTo(ranked);
    assertThat(ranked).hasSize(Math.min(count, RelayRanking.CANDIDATES)).doesNotHaveDuplicates();
  }
}
