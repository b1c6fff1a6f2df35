package io.hickorydrift.proxy.bench;

import io.hickorydrift.proxy.control.Policy;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;

/** A small organisation beside one that floods the connections, with fair and shared queues. */
public final class FairnessExperiment implements Experiment {
  private static final int FLOODING_CALLERS = 120;
  private static final double SMALL_PER_SECOND = 40;
  private static final double SECONDS = 8;
  private static final long STATEMENT_MS = 20;
  private static final int CONNECTIONS = 9;

  @Override
  public String name() {
    return "fairness";
  }

  @Override
  public String summary() {
    return "the worst-served organisation while another floods the connections";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println("| queues | organisation | asked/s | done/s | p50 ms | p99 ms | refused |");
    out.println("|---|---|---|---|---|---|---|");
    measure(out, "fair", Policy.STANDARD);
    measure(out, "first come first served", Policy.STANDARD.withoutFairQueues());
  }

  private static void measure(PrintStream out, String name, Policy policy) throws Exception {
    FleetPlan plan =
        FleetPlan.builder()
            .instances(3)
            .connections(CONNECTIONS, 1)
            .statementMs(STATEMENT_MS)
            .policy(policy)
            .build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      CompletableFuture<LoadResult> flood = CompletableFuture.supplyAsync(() -> flood(fleet));
      Thread.sleep(1_000);
      LoadResult small =
          LoadGenerator.runOpenLoop(
              SMALL_PER_SECOND, SECONDS, FleetPlan.key(1), i -> write(fleet, i));
      print(out, name, "small", SMALL_PER_SECOND, small);
      print(out, name, "flooding", -1, flood.join());
    }
  }

  private static LoadResult flood(LocalFleet fleet) {
    try {
      return LoadGenerator.runClosedLoop(
          FLOODING_CALLERS, SECONDS + 2, FleetPlan.key(0), i -> write(fleet, i));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static LoadGenerator.Request write(LocalFleet fleet, int i) {
    return new LoadGenerator.Request(
        fleet.instances().get(i % 3).callersAddress(),
        "write-0",
        CallerClient.body("CREATE TABLE IF NOT EXISTS t (n INT)", null, 3_000L));
  }

  private static void print(
      PrintStream out, String queues, String organisation, double asked, LoadResult result) {
    out.printf(
        "| %s | %s | %s | %.0f | %.0f | %.0f | %s |%n",
        queues,
        organisation,
        asked < 0 ? "all it can" : String.format("%.0f", asked),
        result.successesPerSecond(),
        result.latencyPercentileMs(50),
        result.latencyPercentileMs(99),
        result.failuresByCode());
  }
}
