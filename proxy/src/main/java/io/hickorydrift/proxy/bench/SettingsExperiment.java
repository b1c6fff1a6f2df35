package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.proxy.Instance;
import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.proxy.settings.KeyDigest;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/** Time until a change is in force on all instances, and calls of the store, beside polling. */
public final class SettingsExperiment implements Experiment {
  private static final int CHANGES = 40;
  private static final long IDLE_MS = 10_000;
  private static final long POLL_MS = 2_000;

  @Override
  public String name() {
    return "settings";
  }

  @Override
  public String summary() {
    return "time until changes and withdrawals are in force everywhere; store calls";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println(
        "| settings by | changes | p50 ms | worst ms | withdrawal p50 ms "
            + "| worst ms | store calls/s idle |");
    out.println("|---|---|---|---|---|---|---|");
    measure(out, "watch and relay", Policy.STANDARD);
    measure(out, "polling every 2 s", Policy.STANDARD.withSettingsPollInterval(POLL_MS));
  }

  private static void measure(PrintStream out, String name, Policy policy) throws Exception {
    FleetPlan plan = Deployments.pages().groups(1).policy(policy).build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      double callsPerSecond = idleCalls(fleet);
      Histogram inForce = new Histogram(3);
      Histogram withdrawn = new Histogram(3);
      for (int i = 0; i < CHANGES; i++) {
        boolean grants = i % 2 == 0;
        long startNanos = System.nanoTime();
        long entry = fleet.apply(FleetPlan.TEAM, plan.teamDeclaration() + extraKey(grants));
        awaitInForce(fleet, entry);
        inForce.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        if (!grants) {
          awaitRefused(fleet);
          withdrawn.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
        }
      }
      out.printf(
          "| %s | %d | %d | %d | %d | %d | %.1f |%n",
          name,
          CHANGES,
          inForce.getValueAtPercentile(50),
          inForce.getMaxValue(),
          withdrawn.getValueAtPercentile(50),
          withdrawn.getMaxValue(),
          callsPerSecond);
    }
  }

  private static String extraKey(boolean granted) {
    String digest = KeyDigest.of("extra-key");
    return granted ? "[key extra]\norganisation = org-0\ndigest = " + digest + "\n" : "";
  }

  private static double idleCalls(LocalFleet fleet) throws InterruptedException {
    Thread.sleep(2_000);
    long before = total(fleet.platform().callCounts());
    Thread.sleep(IDLE_MS);
    return (total(fleet.platform().callCounts()) - before) * 1_000.0 / IDLE_MS;
  }

  private static long total(Map<String, Long> calls) {
    return calls.values().stream().mapToLong(Long::longValue).sum();
  }

  private static void awaitInForce(LocalFleet fleet, long entry) {
    for (Instance instance : fleet.instances()) {
      while (instance.status().configEntry() < entry) {
        LockSupport.parkNanos(500_000);
      }
    }
  }

  private static void awaitRefused(LocalFleet fleet) {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), "extra-key");
    for (Instance instance : fleet.instances()) {
      int refused = ResultCode.KEY_REFUSED.number();
      while (caller.call(instance.callersAddress(), "read-0", "SELECT 1").code() != refused) {
        LockSupport.parkNanos(500_000);
      }
    }
  }
}
