package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.routing.PrimaryOnly;
import io.hickorydrift.proxy.control.Policy;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Share of reads on replicas by replica lag and maximum age, and with reads on the primary only.
 */
public final class ReplicaReadsExperiment implements Experiment {
  private static final long[] LAGS_MS = {20, 100, 300};
  private static final Long[] MAX_AGES_MS = {null, 200L, 500L, 2_000L};
  private static final double SECONDS = 4;
  private static final double READS_PER_SECOND = 400;
  private static final long WRITE_PAUSE_MS = 10;

  @Override
  public String name() {
    return "reads";
  }

  @Override
  public String summary() {
    return "share of reads on replicas by replica lag and maximum age";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println(
        "| policy | lag ms | max age ms | on replicas | p50 ms | p99 ms | failed by code |");
    out.println("|---|---|---|---|---|---|---|");
    for (long lagMs : LAGS_MS) {
      measure(out, "replicas first", Policy.STANDARD, lagMs);
    }
    measure(out, "primary only", Policy.STANDARD.withChooser(new PrimaryOnly()), LAGS_MS[1]);
  }

  private static void measure(PrintStream out, String name, Policy policy, long lagMs)
      throws Exception {
    FleetPlan plan =
        FleetPlan.builder().instances(3).replicationLag(0, lagMs).policy(policy).build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      CallerClient writer = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
      String first = fleet.instances().get(0).callersAddress();
      writer.call(first, "write-0", "CREATE TABLE t (n INT)");
      AtomicBoolean stop = new AtomicBoolean();
      CompletableFuture<Void> writes =
          CompletableFuture.runAsync(
              () -> {
                while (!stop.get()) {
                  writer.call(first, "write-0", "INSERT INTO t VALUES (1)");
                  sleep(WRITE_PAUSE_MS);
                }
              });
      for (Long maxAgeMs : MAX_AGES_MS) {
        readLoad(fleet, maxAgeMs, 1);
        LoadResult result = readLoad(fleet, maxAgeMs, SECONDS);
        out.printf(
            "| %s | %d | %s | %.1f%% | %.2f | %.2f | %s |%n",
            name,
            lagMs,
            maxAgeMs == null ? "any" : maxAgeMs,
            100 * result.replicaShare(),
            result.latencyPercentileMs(50),
            result.latencyPercentileMs(99),
            result.failuresByCode());
      }
      stop.set(true);
      writes.join();
    }
  }

  private static LoadResult readLoad(LocalFleet fleet, Long maxAgeMs, double seconds) {
    return LoadGenerator.runOpenLoop(
        READS_PER_SECOND,
        seconds,
        FleetPlan.key(0),
        i ->
            new LoadGenerator.Request(
                fleet.instances().get(i % fleet.instances().size()).callersAddress(),
                "read-0",
                CallerClient.body("SELECT 1", maxAgeMs, null)));
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
