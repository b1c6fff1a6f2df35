package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.proxy.bench.Experiment;
import java.io.PrintStream;

/** Gains of each decision under load, in the model of a group; the mean of several seeds. */
public final class LoadExperiment implements Experiment {
  private static final int SEEDS = 8;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "gains of admission, order, placement and kept connections, in a model of a group";
  }

  @Override
  public void run(PrintStream out) {
    for (LoadPattern pattern : LoadPattern.all()) {
      out.printf(
          "%n%s: %.0f requests/s, %d organisations, bound of worth %.3f%n%n",
          pattern.name(),
          pattern.requestsPerSecond(),
          pattern.organisationCount(),
          GroupSimulation.utilityBound(pattern));
      out.println(
          "| rules | worth | gain | worst kind | worst organisation | worst but the largest "
              + "| refused | opens a statement | slot time opening | p99 ms |");
      out.println("|---|---|---|---|---|---|---|---|---|---|");
      double before = GroupSimulation.run(pattern, SchedulingPolicy.FIRST_COME, 1).utilityRatio();
      for (SchedulingPolicy rules : SchedulingPolicy.cumulativePolicies()) {
        before = print(out, pattern, rules, before);
      }
    }
  }

  private static double print(
      PrintStream out, LoadPattern pattern, SchedulingPolicy rules, double before) {
    double[] sums = new double[8];
    for (int seed = 1; seed <= SEEDS; seed++) {
      LoadReport report = GroupSimulation.run(pattern, rules, seed);
      sums[0] += report.utilityRatio();
      sums[1] += report.worstClassRatio();
      sums[2] += report.worstOrganisationRatio();
      sums[3] += report.refusedShare();
      sums[4] += report.connectsPerStatement();
      sums[5] += report.connectTimeShare();
      sums[6] += report.p99Ms();
      sums[7] += report.worstOrganisationRatioWithoutLargest();
    }
    double worth = sums[0] / SEEDS;
    out.printf(
        "| %s | %.3f | %+.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |%n",
        rules.name(),
        worth,
        worth - before,
        sums[1] / SEEDS,
        sums[2] / SEEDS,
        sums[7] / SEEDS,
        sums[3] / SEEDS,
        sums[4] / SEEDS,
        sums[5] / SEEDS,
        sums[6] / SEEDS);
    return worth;
  }
}
