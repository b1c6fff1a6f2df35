package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.proxy.target.HttpTargetConnector;
import io.hickorydrift.proxy.target.TargetConnection;
import java.io.PrintStream;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;

/** Added latency of the proxy over direct exchanges, cost of the majority, and throughput. */
public final class LatencyExperiment implements Experiment {
  private static final int WARM_UP = 4_000;
  private static final int MEASURED = 4_000;
  private static final int CALLERS = 32;
  private static final double SECONDS = 8;
  private static final long TIMEOUT_MS = 2_000;

  @Override
  public String name() {
    return "latency";
  }

  @Override
  public String summary() {
    return "added latency over direct exchanges, and requests a second";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    FleetPlan plan = FleetPlan.builder().instances(3).build();
    HttpClient client = new HttpClient();
    client.start();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      String primary = fleet.primary("group-0");
      TargetConnection direct =
          new HttpTargetConnector(client).open(fleet.targets().get(primary).address()).join();
      CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
      String home = fleet.instances().get(0).callersAddress();
      caller.call(home, "write-0", "CREATE TABLE t (id INT, n INT)");
      long term = fleet.targets().get(primary).lastPosition().term();
      final Histogram directRead = sequence(i -> exchange(direct, TargetOp.READ, term, "SELECT 1"));
      final Histogram proxiedRead = sequence(i -> caller.call(home, "read-0", "SELECT 1"));
      final Histogram directWrite =
          sequence(i -> exchange(direct, TargetOp.WRITE, term, "INSERT INTO t VALUES (1, 1)"));
      final Histogram proxiedWrite =
          sequence(i -> caller.call(home, "write-0", "INSERT INTO t VALUES (1, 1)"));
      out.println(
          "| operation | direct p50 ms | proxied p50 ms | ratio | direct p99 | proxied p99 |");
      out.println("|---|---|---|---|---|---|");
      row(out, "read", directRead, proxiedRead);
      row(out, "write, majority confirmed", directWrite, proxiedWrite);
      throughput(out, fleet);
    } finally {
      client.stop();
    }
  }

  private interface Step {
    void run(int number);
  }

  private static Histogram sequence(Step step) {
    Histogram micros = new Histogram(3);
    for (int i = 0; i < WARM_UP + MEASURED; i++) {
      long startNanos = System.nanoTime();
      step.run(i);
      if (i >= WARM_UP) {
        micros.recordValue((System.nanoTime() - startNanos) / 1_000);
      }
    }
    return micros;
  }

  private static TargetAnswer exchange(
      TargetConnection connection, TargetOp op, long term, String sql) {
    TargetRequest request =
        TargetRequest.builder()
            .op(op)
            .term(term)
            .organisation(FleetPlan.organisationName(0))
            .requestId(op == TargetOp.WRITE ? String.valueOf(System.nanoTime()) : null)
            .sql(sql)
            .params(List.of())
            .build();
    return connection.exchange(request, TIMEOUT_MS).join();
  }

  private static void row(PrintStream out, String name, Histogram direct, Histogram proxied) {
    double directMs = direct.getValueAtPercentile(50) / 1_000.0;
    double proxiedMs = proxied.getValueAtPercentile(50) / 1_000.0;
    out.printf(
        "| %s | %.2f | %.2f | %.1f | %.2f | %.2f |%n",
        name,
        directMs,
        proxiedMs,
        proxiedMs / directMs,
        direct.getValueAtPercentile(99) / 1_000.0,
        proxied.getValueAtPercentile(99) / 1_000.0);
  }

  private static void throughput(PrintStream out, LocalFleet fleet) throws Exception {
    String address = fleet.instances().get(0).callersAddress();
    final LoadResult reads =
        LoadGenerator.runClosedLoop(
            CALLERS,
            SECONDS,
            FleetPlan.key(0),
            i ->
                new LoadGenerator.Request(
                    address, "read-0", CallerClient.body("SELECT 1", null, null)));
    final LoadResult writes =
        LoadGenerator.runClosedLoop(
            CALLERS,
            SECONDS,
            FleetPlan.key(0),
            i ->
                new LoadGenerator.Request(
                    address,
                    "write-0",
                    CallerClient.body("INSERT INTO t VALUES (1, 1)", null, null)));
    out.println();
    out.println(
        "| load on one instance, " + CALLERS + " callers | done/s | p50 ms | p99 ms | refused |");
    out.println("|---|---|---|---|---|");
    line(out, "reads", reads);
    line(out, "writes", writes);
  }

  private static void line(PrintStream out, String name, LoadResult result) {
    out.printf(
        "| %s | %.0f | %.2f | %.2f | %s |%n",
        name,
        result.successesPerSecond(),
        result.latencyPercentileMs(50),
        result.latencyPercentileMs(99),
        result.failuresByCode());
  }
}
