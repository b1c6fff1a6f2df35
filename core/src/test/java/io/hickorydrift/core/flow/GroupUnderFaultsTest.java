package io.hickorydrift.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.flow.GroupScenario.Faults;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Acknowledged writes survive exactly once, refused ones never, and reads see their session, under
 * any interleaving of the faults in the table.
 */
class GroupUnderFaultsTest {
  private static final int STEPS = 1_500;

  @Provide
  Arbitrary<Faults> faultTable() {
    return Arbitraries.of(
        Faults.NONE,
        new Faults(0.05, 0, 0, 0, 0),
        new Faults(0, 0.01, 0, 0, 0),
        new Faults(0, 0, 0.005, 0, 0),
        new Faults(0, 0.01, 0, 0.01, 0.2),
        new Faults(0.05, 0.02, 0.005, 0.01, 0.2),
        new Faults(0.2, 0.05, 0.01, 0.02, 0.3));
  }

  @Property(tries = 150, seed = "20261204")
  void acknowledgedWritesSurviveOnceAndRefusedOnesNever(
      @ForAll long seed, @ForAll("faultTable") Faults faults) {
    GroupScenario scenario = new GroupScenario(seed, faults);
    scenario.run(STEPS);

    List<FakeTarget.Entry> log = scenario.survivingLog();
    assertThat(log).as("a primary after healing").isNotNull();
    List<String> ids = new ArrayList<>();
    for (FakeTarget.Entry entry : log) {
      if (entry.requestId() != null) {
        ids.add(entry.requestId());
      }
    }
    Set<String> once = new HashSet<>(ids);
    assertThat(ids).as("no write twice").hasSameSizeAs(once);
    assertThat(once).as("acknowledged writes survive").containsAll(scenario.acknowledged);
    once.retainAll(scenario.refused);
    assertThat(once).as("refused writes that ran").isEmpty();
    assertThat(scenario.violations).isEmpty();
    assertThat(scenario.primariesByTerm.values()).allSatisfy(ids2 -> assertThat(ids2).hasSize(1));
  }

  @Property(tries = 20, seed = "20261204")
  void withoutFaultsNearlyAllRequestsAreServed(@ForAll long seed) {
    GroupScenario scenario = new GroupScenario(seed, Faults.NONE);
    scenario.run(STEPS);

    assertThat(scenario.acknowledged).hasSizeGreaterThan(STEPS / 16);
    assertThat(scenario.readsServed).isGreaterThan(STEPS / 16);
    assertThat(scenario.refused).isEmpty();
  }
}
