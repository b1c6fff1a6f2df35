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

/** Rendezvous hashing is even, and a candidate that goes changes no other's rank. */
class RendezvousTest {
  private static List<String> candidates(int count) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add("i-" + i);
    }
    return names;
  }

  @Property(tries = 200, seed = "20261204")
  void orderOfTheOthersStays(@ForAll String key, @ForAll @IntRange(min = 0, max = 19) int leaving) {
    List<String> all = candidates(20);
    List<String> before = new ArrayList<>(Rendezvous.rank(key, all));
    String gone = all.get(leaving);
    before.remove(gone);
    all.remove(gone);
    assertThat(Rendezvous.rank(key, all)).isEqualTo(before);
  }

  @Test
  void keysSpreadEvenly() {
    Map<String, Integer> first = new HashMap<>();
    for (int i = 0; i < 11_000; i++) {
      first.merge(Rendezvous.rank("group-" + i, candidates(11)).get(0), 1, Integer::sum);
    }
    assertThat(first).hasSize(11);
    assertThat(first.values()).allSatisfy(count -> assertThat(count).isBetween(850, 1_150));
  }
}
