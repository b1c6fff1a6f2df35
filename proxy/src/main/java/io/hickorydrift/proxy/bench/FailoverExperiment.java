package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.failover.FailoverSettings;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.standin.target.TargetStandin;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Gap in writes when a primary stops answering, beside detection by a fixed wait. */
public final class FailoverExperiment implements Experiment {
  private static final int RUNS = 20;
  private static final long SETTLE_MS = 700;
  private static final long DEADLINE_MS = 15_000;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Three checks a second apart, with the same steps after that. */
  private static final FailoverSettings FIXED_WAIT =
      new FailoverSettings(
          SECOND_NANOS,
          SECOND_NANOS,
          SECOND_NANOS,
          SECOND_NANOS,
          4 * SECOND_NANOS,
          SECOND_NANOS,
          2 * SECOND_NANOS);

  @Override
  public String name() {
    return "failover";
  }

  @Override
  public String summary() {
    return "gap in writes when a primary freezes or is killed, " + RUNS + " runs each";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    out.println("| deployment | policy | fault | runs | median ms | worst ms | failed |");
    out.println("|---|---|---|---|---|---|---|");
    frozen(out, "pages", "as built", Deployments.pages().build(), RUNS);
    frozen(out, "lakeshore", "as built", Deployments.lakeshore().build(), RUNS);
    killed(out, "pages", Deployments.pages().build());
    killed(out, "lakeshore", Deployments.lakeshore().build());
    FleetPlan fixed = Deployments.pages().policy(Policy.STANDARD.withFailover(FIXED_WAIT)).build();
    frozen(out, "pages", "fixed wait", fixed, RUNS);
  }

  private static void frozen(
      PrintStream out, String deployment, String policy, FleetPlan plan, int runs)
      throws Exception {
    List<Long> gapsMs = new ArrayList<>();
    int failed = 0;
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      CallerClient caller = prepare(fleet);
      for (int run = 0; run < runs; run++) {
        TargetStandin primary = fleet.targets().get(fleet.primary("group-0"));
        primary.setPaused(true);
        failed += write(fleet, caller, run, gapsMs) ? 0 : 1;
        primary.setPaused(false);
        Thread.sleep(SETTLE_MS);
      }
    }
    print(out, deployment, policy, "freeze", gapsMs, failed);
  }

  private static void killed(PrintStream out, String deployment, FleetPlan plan) throws Exception {
    List<Long> gapsMs = new ArrayList<>();
    int failed = 0;
    for (int run = 0; run < RUNS; run++) {
      try (LocalFleet fleet = LocalFleet.start(plan)) {
        CallerClient caller = prepare(fleet);
        fleet.targets().get(fleet.primary("group-0")).close();
        failed += write(fleet, caller, run, gapsMs) ? 0 : 1;
      }
    }
    print(out, deployment, "as built", "kill", gapsMs, failed);
  }

  private static CallerClient prepare(LocalFleet fleet) throws Exception {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    String address = fleet.instances().get(0).callersAddress();
    caller.call(address, "write-0", "CREATE TABLE t (n INT)");
    Thread.sleep(SETTLE_MS);
    return caller;
  }

  private static boolean write(LocalFleet fleet, CallerClient caller, int run, List<Long> gapsMs) {
    String address = fleet.instances().get(run % fleet.instances().size()).callersAddress();
    long startNanos = System.nanoTime();
    CallerAnswer answer =
        caller
            .call(
                address,
                "write-0",
                null,
                CallerClient.body("INSERT INTO t VALUES (1)", null, DEADLINE_MS))
            .join();
    gapsMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    return answer.code() == 0;
  }

  private static void print(
      PrintStream out,
      String deployment,
      String policy,
      String fault,
      List<Long> gapsMs,
      int failed) {
    Collections.sort(gapsMs);
    out.printf(
        "| %s | %s | %s | %d | %d | %d | %d |%n",
        deployment,
        policy,
        fault,
        gapsMs.size(),
        gapsMs.get(gapsMs.size() / 2),
        gapsMs.get(gapsMs.size() - 1),
        failed);
  }
}
