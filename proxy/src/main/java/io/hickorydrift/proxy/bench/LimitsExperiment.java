package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.proxy.control.Policy;
import java.io.PrintStream;
import java.util.function.IntUnaryOperator;

/**
 * Refusals within the rate limit and overshoot beyond it, with tokens transferred between instances
 * and with a static share for each.
 */
public final class LimitsExperiment implements Experiment {
  private static final int INSTANCES = 7;
  private static final long RATE_PER_SECOND = 200;
  private static final long BURST = 200;
  private static final double SECONDS = 10;
  private static final double FACTOR_WITHIN_LIMIT = 0.9;
  private static final double FACTOR_OVER_LIMIT = 5;

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public String summary() {
    return "refusals within the rate limit and overshoot, under even and uneven load";
  }

  @Override
  public void run(PrintStream out) {
    out.println("| policy | load | offered/s | done/s | refused | overshoot, requests |");
    out.println("|---|---|---|---|---|---|");
    measure(out, "token transfers", Policy.STANDARD);
    LimitSettings standard = LimitSettings.STANDARD;
    LimitSettings staticShares =
        new LimitSettings(
            0,
            standard.grantValidityNanos(),
            standard.driftMarginNanos(),
            standard.demandHorizonNanos(),
            standard.maxWaitNanos(),
            standard.requestIntervalNanos(),
            0);
    measure(out, "static shares", Policy.STANDARD.withLimits(staticShares));
  }

  private static void measure(PrintStream out, String name, Policy policy) {
    FleetPlan plan =
        Deployments.lakeshore().rateLimit(RATE_PER_SECOND, BURST).groups(1).policy(policy).build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      // Each load uses its own organisation, so that none starts with a bucket that another
      // drained.
      runLoad(out, fleet, name, "even", 0, FACTOR_WITHIN_LIMIT, i -> i % INSTANCES);
      runLoad(out, fleet, name, "all on one instance", 1, FACTOR_WITHIN_LIMIT, i -> 0);
      runLoad(
          out,
          fleet,
          name,
          "shifting every second",
          2,
          FACTOR_WITHIN_LIMIT,
          i -> (int) (i / RATE_PER_SECOND) % INSTANCES);
      runLoad(out, fleet, name, "five times the rate", 3, FACTOR_OVER_LIMIT, i -> i % INSTANCES);
    }
  }

  private static void runLoad(
      PrintStream out,
      LocalFleet fleet,
      String policy,
      String name,
      int organisation,
      double rateFactor,
      IntUnaryOperator instance) {
    LoadResult result =
        LoadGenerator.runOpenLoop(
            RATE_PER_SECOND * rateFactor,
            SECONDS,
            FleetPlan.key(organisation),
            i ->
                new LoadGenerator.Request(
                    fleet.instances().get(instance.applyAsInt(i)).callersAddress(),
                    "read-0",
                    CallerClient.body("SELECT 1", null, null)));
    double allowed = BURST + RATE_PER_SECOND * result.total() / (RATE_PER_SECOND * rateFactor);
    double overshoot = Math.max(0, result.count(ResultCode.OK) - allowed);
    out.printf(
        "| %s | %s | %.0f | %.0f | %.2f%% | %.0f |%n",
        policy,
        name,
        RATE_PER_SECOND * rateFactor,
        result.successesPerSecond(),
        100.0 * result.count(ResultCode.RATE_EXCEEDED) / result.total(),
        overshoot);
  }
}
