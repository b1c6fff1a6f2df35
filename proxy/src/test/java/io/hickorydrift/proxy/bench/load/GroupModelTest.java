package io.hickorydrift.proxy.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays the load that each decision answers, and shows its gain over the rules before it. */
class GroupModelTest {
  private static final int SEEDS = 4;
  private static final String PLACED = "+ primary kept free, few sent ahead";
  private static final String FORECAST = "+ refused if hopeless";
  private static final String STANDING = "+ no standing queue";
  private static final String URGENT = "+ urgent first";
  private static final String FAIR = "+ fair between organisations";
  private static final String COST = "+ connections by expected cost";
  private static final String BASELINE = "shortest queue, all let in";

  private static double mean(
      LoadPattern pattern, String rules, ToDoubleFunction<LoadReport> figure) {
    double sum = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      sum += figure.applyAsDouble(GroupModel.run(pattern, LoadRules.rung(rules), seed));
    }
    return sum / SEEDS;
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.LoadRules#ladder")
  void calmDaysAreServedWhole(LoadRules rules) {
    assertThat(GroupModel.run(LoadPattern.calm(), rules, 1).worth()).isGreaterThan(0.99);
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.LoadPattern#all")
  void nobodyExceedsTheBound(LoadPattern pattern) {
    for (LoadRules rules : LoadRules.ladder()) {
      assertThat(GroupModel.run(pattern, rules, 2).worth())
          .as(rules.name())
          .isLessThanOrEqualTo(GroupModel.bound(pattern) + 0.01);
    }
  }

  @Test
  void sameSeedSameRun() {
    LoadReport first = GroupModel.run(LoadPattern.flood(), LoadRules.rung(FAIR), 3);
    LoadReport second = GroupModel.run(LoadPattern.flood(), LoadRules.rung(FAIR), 3);
    assertThat(first.worth()).isEqualTo(second.worth());
  }

  @Test
  void placementHelpsWhereConnectionsAreFew() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, PLACED, LoadReport::worth))
        .isGreaterThan(mean(load, BASELINE, LoadReport::worth) + 0.1);
  }

  @Test
  void refusingTheHopelessHelpsUnderOverload() {
    assertThat(mean(LoadPattern.overload(), FORECAST, LoadReport::worth))
        .isGreaterThan(mean(LoadPattern.overload(), PLACED, LoadReport::worth));
  }

  @Test
  void noQueueStandsUnderOverload() {
    assertThat(mean(LoadPattern.overload(), STANDING, LoadReport::worth))
        .isGreaterThan(mean(LoadPattern.overload(), FORECAST, LoadReport::worth) + 0.1);
  }

  @Test
  void fairnessKeepsSmallOrganisationsServedInAnothersFlood() {
    assertThat(mean(LoadPattern.flood(), FAIR, LoadReport::worstSmall))
        .isGreaterThan(mean(LoadPattern.flood(), URGENT, LoadReport::worstSmall) + 0.1);
  }

  @Test
  void expectedCostOpensFewerConnections() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, COST, LoadReport::opensEach))
        .isLessThan(mean(load, FAIR, LoadReport::opensEach) * 0.9);
  }
}
