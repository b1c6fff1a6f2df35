package io.hickorydrift.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against uneven rendezvous hashing, and against reordered candidates after a removal. */
class RendezvousTest {
  private static List<String> candidates(int count) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add("i-" + i);
    }
    return names;
  }

  @Property(tries = 200, seed = "20261204")
  void removingOneCandidateKeepsTheOrderOfTheOthers(
      @ForAll String key, @ForAll @IntRange(min = 0, max = 19) int removedIndex) {
    List<String> all = candidates(20);
    List<String> before = new ArrayList<>(Rendezvous.rank(key, all));
    String removed = all.get(removedIndex);
    before.remove(removed);
    all.remove(removed);
    assertThat(Rendezvous.rank(key, all)).isEqualTo(before);
  }

  @Test
  void keysAreDistributedEvenly() {
    Map<String, Integer> firstRankCounts = new HashMap<>();
    for (int i = 0; i < 11_000; i++) {
      firstRankCounts.merge(Rendezvous.rank("group-" + i, candidates(11)).get(0), 1, Integer::sum);
    }
    assertThat(firstRankCounts).hasSize(11);
    assertThat(firstRankCounts.values())
        .allSatisfy(count -> assertThat(count).isBetween(850, 1_150));
  }
}
