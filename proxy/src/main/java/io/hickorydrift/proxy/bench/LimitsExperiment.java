package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.proxy.control.Policy;
import java.io.PrintStream;
import java.util.function.IntUnaryOperator;

/** Refusals within the rate and overshoot, beside a static share for each instance. */
public final class LimitsExperiment implements Experiment {
  private static final int INSTANCES = 7;
  private static final long RATE = 200;
  private static final long BURST = 200;
  private static final double SECONDS = 10;
  private static final double WITHIN = 0.9;
  private static final double FLOOD = 5;

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public String summary() {
    return "refusals within the rate and overshoot, even and uneven load";
  }

  @Override
  public void run(PrintStream out) {
    out.println("| policy | load | asked/s | done/s | refused | over rate and burst |");
    out.println("|---|---|---|---|---|---|");
    measure(out, "transfers", Policy.STANDARD);
    LimitSettings standard = LimitSettings.STANDARD;
    LimitSettings fixed =
        new LimitSettings(
            0,
            standard.grantValidityNanos(),
            standard.driftMarginNanos(),
            standard.demandHorizonNanos(),
            standard.maxWaitNanos(),
            standard.requestIntervalNanos(),
            0);
    measure(out, "static share", Policy.STANDARD.withLimits(fixed));
  }

  private static void measure(PrintStream out, String name, Policy policy) {
    FleetPlan plan =
        Deployments.lakeshore().rateLimit(RATE, BURST).groups(1).policy(policy).build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      // Uneven loads come from organisations of their own, so that each bucket is as it was left.
      load(out, fleet, name, "even", 0, WITHIN, i -> i % INSTANCES);
      load(out, fleet, name, "all on one instance", 1, WITHIN, i -> 0);
      load(out, fleet, name, "shifting every second", 2, WITHIN, i -> (int) (i / RATE) % INSTANCES);
      load(out, fleet, name, "five times the rate", 3, FLOOD, i -> i % INSTANCES);
    }
  }

  private static void load(
      PrintStream out,
      LocalFleet fleet,
      String policy,
      String name,
      int organisation,
      double part,
      IntUnaryOperator instance) {
    LoadResult result =
        LoadGenerator.runOpenLoop(
            RATE * part,
            SECONDS,
            FleetPlan.key(organisation),
            i ->
                new LoadGenerator.Request(
                    fleet.instances().get(instance.applyAsInt(i)).callersAddress(),
                    "read-0",
                    CallerClient.body("SELECT 1", null, null)));
    double allowed = BURST + RATE * result.total() / (RATE * part);
    double over = Math.max(0, result.count(ResultCode.OK) - allowed);
    out.printf(
        "| %s | %s | %.0f | %.0f | %.2f%% | %.0f |%n",
        policy,
        name,
        RATE * part,
        result.successesPerSecond(),
        100.0 * result.count(ResultCode.RATE_EXCEEDED) / result.total(),
        over);
  }
}
