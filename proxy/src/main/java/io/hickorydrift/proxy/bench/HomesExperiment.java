package io.hickorydrift.proxy.bench;

import java.io.PrintStream;

/** Latency and throughput with one home per failure domain, and with every instance a home. */
public final class HomesExperiment implements Experiment {
  private static final int INSTANCES = 7;
  private static final int[] CALLERS = {7, 56};
  private static final double WARM_UP_SECONDS = 2;
  private static final double SECONDS = 5;
  private static final long STATEMENT_MS = 2;

  @Override
  public String name() {
    return "homes";
  }

  @Override
  public String summary() {
    return "one home per failure domain, compared with every instance a home";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println("| homes | callers | operation | done/s | p50 ms | p99 ms | failed by code |");
    out.println("|---|---|---|---|---|---|---|");
    measure(out, "one per domain", 1);
    measure(out, "every instance", INSTANCES);
  }

  private static void measure(PrintStream out, String name, int homesPerDomain) throws Exception {
    FleetPlan plan =
        Deployments.lakeshore()
            .groups(1)
            .homesPerDomain(homesPerDomain)
            .statementMs(STATEMENT_MS)
            .connections(20, 30)
            .build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      CallerClient first = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
      first.call(fleet.instances().get(0).callersAddress(), "write-0", "CREATE TABLE t (n INT)");
      for (int callers : CALLERS) {
        runLoad(fleet, callers, "read-0", "SELECT 1", WARM_UP_SECONDS);
        printRow(
            out, name, callers, "read", runLoad(fleet, callers, "read-0", "SELECT 1", SECONDS));
        String insert = "INSERT INTO t VALUES (1)";
        printRow(out, name, callers, "write", runLoad(fleet, callers, "write-0", insert, SECONDS));
      }
    }
  }

  private static LoadResult runLoad(
      LocalFleet fleet, int callers, String route, String sql, double seconds) throws Exception {
    return LoadGenerator.runClosedLoop(
        callers,
        seconds,
        FleetPlan.key(0),
        i ->
            new LoadGenerator.Request(
                fleet.instances().get(i % INSTANCES).callersAddress(),
                route,
                CallerClient.body(sql, null, null)));
  }

  private static void printRow(
      PrintStream out, String name, int callers, String operation, LoadResult result) {
    out.printf(
        "| %s | %d | %s | %.0f | %.2f | %.2f | %s |%n",
        name,
        callers,
        operation,
        result.successesPerSecond(),
        result.latencyPercentileMs(50),
        result.latencyPercentileMs(99),
        result.failuresByCode());
  }
}
