package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSet;
import org.HdrHistogram.Histogram;

/** Runs stand-ins and two instances on loopback, and one session that alternates between them. */
final class DemoCommand implements Command {
  private static final int ROUNDS = 10;
  private static final int INSTANCES = 2;
  private static final long APPLY_LAG_MS = 20;

  private int successCount;
  private int replicaReadCount;
  private final Histogram latencyMicros = new Histogram(3);

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run stand-ins and two instances on loopback, with a session that uses both";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws InterruptedException {
    Options options = new Options("demo [--keep]");
    options.parser().accepts("keep", "Keep running and print example requests");
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    FleetPlan plan =
        FleetPlan.builder()
            .domains(List.of("d1", "d2"))
            .instances(INSTANCES)
            .replicationLag(0, APPLY_LAG_MS)
            .build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      boolean consistent = runAlternatingSession(fleet, out);
      out.printf(
          "done=%d on_replica=%d p50_us=%d p99_us=%d%n",
          successCount,
          replicaReadCount,
          latencyMicros.getValueAtPercentile(50),
          latencyMicros.getValueAtPercentile(99));
      if (parsed.has("keep")) {
        printExamplesAndWait(fleet, out);
      }
      return consistent ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private boolean runAlternatingSession(LocalFleet fleet, PrintStream out) {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    List<String> addresses =
        List.of(
            fleet.instances().get(0).callersAddress(), fleet.instances().get(1).callersAddress());
    boolean consistent =
        callAndPrint(
                    caller,
                    addresses.get(0),
                    "write-0",
                    "CREATE TABLE site (id INT PRIMARY KEY)",
                    out)
                .code()
            == 0;
    for (int i = 1; i <= ROUNDS; i++) {
      String firstAddress = addresses.get(i % INSTANCES);
      String secondAddress = addresses.get((i + 1) % INSTANCES);
      callAndPrint(caller, firstAddress, "write-0", "INSERT INTO site VALUES (" + i + ")", out);
      CallerAnswer read =
          callAndPrint(caller, secondAddress, "read-0", "SELECT COUNT(*) FROM site", out);
      consistent &= read.code() == 0 && read.rows().toString().equals("[[" + i + "]]");
      awaitReplicas();
      CallerAnswer laterRead =
          callAndPrint(caller, firstAddress, "read-0", "SELECT COUNT(*) FROM site", out);
      consistent &= laterRead.code() == 0 && laterRead.rows().toString().equals("[[" + i + "]]");
    }
    return consistent;
  }

  private static void awaitReplicas() {
    try {
      Thread.sleep(4 * APPLY_LAG_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private CallerAnswer callAndPrint(
      CallerClient caller, String address, String route, String sql, PrintStream out) {
    long startNanos = System.nanoTime();
    CallerAnswer answer = caller.call(address, route, sql);
    latencyMicros.recordValue((System.nanoTime() - startNanos) / 1_000);
    successCount += answer.code() == 0 ? 1 : 0;
    replicaReadCount += "replica".equals(answer.targetRole()) ? 1 : 0;
    out.printf(
        "route=%s code=%d instance=%s target=%s role=%s term=%s index=%s rows=%s%n",
        route,
        answer.code(),
        answer.instance(),
        answer.target(),
        answer.targetRole(),
        answer.servedAt() == null ? "-" : answer.servedAt().term(),
        answer.servedAt() == null ? "-" : answer.servedAt().index(),
        answer.rows());
    return answer;
  }

  private static void printExamplesAndWait(LocalFleet fleet, PrintStream out)
      throws InterruptedException {
    String callers = fleet.instances().get(0).callersAddress();
    out.println("example requests:");
    out.printf(
        "  curl -H 'Authorization: Bearer %s' -d '{\"sql\":\"SELECT * FROM site\"}'"
            + " http://%s/v1/read-0%n",
        FleetPlan.key(0), callers);
    out.printf("  curl http://%s/metrics%n", fleet.instances().get(0).operatorsAddress());
    out.println("stop with Ctrl-C");
    new CountDownLatch(1).await();
  }
}
