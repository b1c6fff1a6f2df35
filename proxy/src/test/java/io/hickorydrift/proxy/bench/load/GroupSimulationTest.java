package io.hickorydrift.proxy.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays the load that each decision answers, and shows its gain over the rules before it. */
class GroupSimulationTest {
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
      sum +=
          figure.applyAsDouble(GroupSimulation.run(pattern, SchedulingPolicy.named(rules), seed));
    }
    return sum / SEEDS;
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.LoadRules#ladder")
  void calmDaysAreServedWhole(SchedulingPolicy rules) {
    assertThat(GroupSimulation.run(LoadPattern.normalLoad(), rules, 1).utilityRatio())
        .isGreaterThan(0.99);
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.LoadPattern#all")
  void nobodyExceedsTheBound(LoadPattern pattern) {
    for (SchedulingPolicy rules : SchedulingPolicy.cumulativePolicies()) {
      assertThat(GroupSimulation.run(pattern, rules, 2).utilityRatio())
          .as(rules.name())
          .isLessThanOrEqualTo(GroupSimulation.utilityBound(pattern) + 0.01);
    }
  }

  @Test
  void sameSeedSameRun() {
    LoadReport first = GroupSimulation.run(LoadPattern.flood(), SchedulingPolicy.named(FAIR), 3);
    LoadReport second = GroupSimulation.run(LoadPattern.flood(), SchedulingPolicy.named(FAIR), 3);
    assertThat(first.utilityRatio()).isEqualTo(second.utilityRatio());
  }

  @Test
  void placementHelpsWhereConnectionsAreFew() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, PLACED, LoadReport::utilityRatio))
        .isGreaterThan(mean(load, BASELINE, LoadReport::utilityRatio) + 0.1);
  }

  @Test
  void refusingTheHopelessHelpsUnderOverload() {
    assertThat(mean(LoadPattern.overload(), FORECAST, LoadReport::utilityRatio))
        .isGreaterThan(mean(LoadPattern.overload(), PLACED, LoadReport::utilityRatio));
  }

  @Test
  void noQueueStandsUnderOverload() {
    assertThat(mean(LoadPattern.overload(), STANDING, LoadReport::utilityRatio))
        .isGreaterThan(mean(LoadPattern.overload(), FORECAST, LoadReport::utilityRatio) + 0.1);
  }

  @Test
  void fairnessKeepsSmallOrganisationsServedInAnothersFlood() {
    assertThat(mean(LoadPattern.flood(), FAIR, LoadReport::worstOrganisationRatioWithoutLargest))
        .isGreaterThan(
            mean(LoadPattern.flood(), URGENT, LoadReport::worstOrganisationRatioWithoutLargest)
                + 0.1);
  }

  @Test
  void expectedCostOpensFewerConnections() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, COST, LoadReport::connectsPerStatement))
        .isLessThan(mean(load, FAIR, LoadReport::connectsPerStatement) * 0.9);
  }
}
