package io.hickorydrift.proxy.bench;

import io.hickorydrift.proxy.control.Policy;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;

/**
 * Service of a small organisation while another saturates the connections, with fair queueing and
 * with one queue for all.
 */
public final class FairnessExperiment implements Experiment {
  private static final int SATURATING_CALLERS = 120;
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
    return "service of a small organisation while another saturates the connections";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println(
        "| queueing | organisation | offered/s | done/s | p50 ms | p99 ms | failed by code |");
    out.println("|---|---|---|---|---|---|---|");
    measure(out, "fair", Policy.STANDARD);
    measure(out, "first come, first served", Policy.STANDARD.withoutFairQueues());
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
      CompletableFuture<LoadResult> saturating =
          CompletableFuture.supplyAsync(() -> saturate(fleet));
      Thread.sleep(1_000);
      LoadResult small =
          LoadGenerator.runOpenLoop(
              SMALL_PER_SECOND, SECONDS, FleetPlan.key(1), i -> writeRequest(fleet, i));
      printRow(out, name, "small", SMALL_PER_SECOND, small);
      printRow(out, name, "saturating", -1, saturating.join());
    }
  }

  private static LoadResult saturate(LocalFleet fleet) {
    try {
      return LoadGenerator.runClosedLoop(
          SATURATING_CALLERS, SECONDS + 2, FleetPlan.key(0), i -> writeRequest(fleet, i));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static LoadGenerator.Request writeRequest(LocalFleet fleet, int i) {
    return new LoadGenerator.Request(
        fleet.instances().get(i % 3).callersAddress(),
        "write-0",
        CallerClient.body("CREATE TABLE IF NOT EXISTS t (n INT)", null, 3_000L));
  }

  private static void printRow(
      PrintStream out,
      String queueing,
      String organisation,
      double offeredPerSecond,
      LoadResult result) {
    out.printf(
        "| %s | %s | %s | %.0f | %.0f | %.0f | %s |%n",
        queueing,
        organisation,
        offeredPerSecond < 0 ? "unlimited" : String.format("%.0f", offeredPerSecond),
        result.successesPerSecond(),
        result.latencyPercentileMs(50),
        result.latencyPercentileMs(99),
        result.failuresByCode());
  }
}
