package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.proxy.bench.Experiment;
import java.io.PrintStream;

/** Measures the gain of each scheduling decision in a simulated group, averaged over seeds. */
public final class LoadExperiment implements Experiment {
  private static final int SEEDS = 8;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "gains of admission, priorities, placement and connection eviction in a simulated group";
  }

  @Override
  public void run(PrintStream out) {
    for (LoadPattern pattern : LoadPattern.all()) {
      out.printf(
          "%n%s: %.0f requests/s, %d organisations, utility bound %.3f%n%n",
          pattern.name(),
          pattern.requestsPerSecond(),
          pattern.organisationCount(),
          GroupSimulation.utilityBound(pattern));
      out.println(
          "| policy | utility | gain | worst class | worst organisation "
              + "| worst without the largest | refused "
              + "| connects per statement | slot time connecting | p99 ms |");
      out.println("|---|---|---|---|---|---|---|---|---|---|");
      double previous = GroupSimulation.run(pattern, SchedulingPolicy.FIFO, 1).utilityRatio();
      for (SchedulingPolicy policy : SchedulingPolicy.cumulativePolicies()) {
        previous = print(out, pattern, policy, previous);
      }
    }
  }

  private static double print(
      PrintStream out, LoadPattern pattern, SchedulingPolicy policy, double previous) {
    double[] sums = new double[8];
    for (int seed = 1; seed <= SEEDS; seed++) {
      LoadReport report = GroupSimulation.run(pattern, policy, seed);
      sums[0] += report.utilityRatio();
      sums[1] += report.worstClassRatio();
      sums[2] += report.worstOrganisationRatio();
      sums[3] += report.refusedShare();
      sums[4] += report.connectsPerStatement();
      sums[5] += report.connectTimeShare();
      sums[6] += report.p99Ms();
      sums[7] += report.worstOrganisationRatioWithoutLargest();
    }
    double utility = sums[0] / SEEDS;
    out.printf(
        "| %s | %.3f | %+.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |%n",
        policy.name(),
        utility,
        utility - previous,
        sums[1] / SEEDS,
        sums[2] / SEEDS,
        sums[7] / SEEDS,
        sums[3] / SEEDS,
        sums[4] / SEEDS,
        sums[5] / SEEDS,
        sums[6] / SEEDS);
    return utility;
  }
}
