package io.hickorydrift.proxy.bench.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that each scheduling decision improves on the previous policy under its load pattern. */
class GroupSimulationTest {
  private static final int SEEDS = 4;
  private static final String REPLICA_READS = "+ reads avoid the primary, short target queues";
  private static final String DEADLINE_ADMISSION = "+ deadline admission";
  private static final String STANDING_QUEUE_ADMISSION = "+ standing queue admission";
  private static final String PRIORITIES = "+ priorities";
  private static final String FAIR_QUEUEING = "+ fair queueing";
  private static final String EXPECTED_COST = "+ eviction by expected cost";
  private static final String BASELINE = "shortest queue, all admitted";

  private static double mean(
      LoadPattern pattern, String policy, ToDoubleFunction<LoadReport> metric) {
    double sum = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      sum +=
          metric.applyAsDouble(GroupSimulation.run(pattern, SchedulingPolicy.named(policy), seed));
    }
    return sum / SEEDS;
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.SchedulingPolicy#cumulativePolicies")
  void normalLoadIsServedInFull(SchedulingPolicy policy) {
    assertThat(GroupSimulation.run(LoadPattern.normalLoad(), policy, 1).utilityRatio())
        .isGreaterThan(0.99);
  }

  @ParameterizedTest
  @MethodSource("io.hickorydrift.proxy.bench.load.LoadPattern#all")
  void noPolicyExceedsTheUtilityBound(LoadPattern pattern) {
    for (SchedulingPolicy policy : SchedulingPolicy.cumulativePolicies()) {
      assertThat(GroupSimulation.run(pattern, policy, 2).utilityRatio())
          .as(policy.name())
          .isLessThanOrEqualTo(GroupSimulation.utilityBound(pattern) + 0.01);
    }
  }

  @Test
  void sameSeedGivesSameResult() {
    LoadReport first =
        GroupSimulation.run(LoadPattern.flood(), SchedulingPolicy.named(FAIR_QUEUEING), 3);
    LoadReport second =
        GroupSimulation.run(LoadPattern.flood(), SchedulingPolicy.named(FAIR_QUEUEING), 3);
    assertThat(first.utilityRatio()).isEqualTo(second.utilityRatio());
  }

  @Test
  void replicaReadsRaiseUtilityWithFewConnections() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, REPLICA_READS, LoadReport::utilityRatio))
        .isGreaterThan(mean(load, BASELINE, LoadReport::utilityRatio) + 0.1);
  }

  @Test
  void deadlineAdmissionRaisesUtilityUnderOverload() {
    assertThat(mean(LoadPattern.overload(), DEADLINE_ADMISSION, LoadReport::utilityRatio))
        .isGreaterThan(mean(LoadPattern.overload(), REPLICA_READS, LoadReport::utilityRatio));
  }

  @Test
  void standingQueueAdmissionRaisesUtilityUnderOverload() {
    assertThat(mean(LoadPattern.overload(), STANDING_QUEUE_ADMISSION, LoadReport::utilityRatio))
        .isGreaterThan(
            mean(LoadPattern.overload(), DEADLINE_ADMISSION, LoadReport::utilityRatio) + 0.1);
  }

  @Test
  void fairQueueingProtectsSmallOrganisationsFromFlood() {
    assertThat(
            mean(
                LoadPattern.flood(),
                FAIR_QUEUEING,
                LoadReport::worstOrganisationRatioWithoutLargest))
        .isGreaterThan(
            mean(LoadPattern.flood(), PRIORITIES, LoadReport::worstOrganisationRatioWithoutLargest)
                + 0.1);
  }

  @Test
  void expectedCostEvictionOpensFewerConnections() {
    LoadPattern load = LoadPattern.manyOrganisations();
    assertThat(mean(load, EXPECTED_COST, LoadReport::connectsPerStatement))
        .isLessThan(mean(load, FAIR_QUEUEING, LoadReport::connectsPerStatement) * 0.9);
  }
}
