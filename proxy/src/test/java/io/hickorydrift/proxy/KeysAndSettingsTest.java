package io.hickorydrift.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import io.hickorydrift.proxy.cli.OperatorClient;
import io.hickorydrift.proxy.intake.OperatorHandler.Change;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.KeyDigest;
import io.hickorydrift.standin.platform.PlatformFaults;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests API keys, concurrent changes by operators and the propagation of settings to all instances,
 * with faults of the platform's store.
 */
class KeysAndSettingsTest {
  private static final long MAX_PROPAGATION_NANOS = 5_000_000_000L;

  private LocalFleet fleet;
  private FleetPlan plan;

  @BeforeEach
  void start() {
    plan = FleetPlan.builder().instances(3).build();
    fleet = LocalFleet.start(plan);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private String callersAddress(int instance) {
    return fleet.instances().get(instance).callersAddress();
  }

  private boolean inForceOnAllInstances(long entry) {
    return fleet.instances().stream()
        .allMatch(instance -> instance.status().configEntry() >= entry);
  }

  private String teamDeclarationWithoutKey(int organisation) {
    String section = "[key k-" + organisation + "]";
    String text = plan.teamDeclaration();
    int start = text.indexOf(section);
    int end = text.indexOf("[", start + 1);
    return text.substring(0, start) + text.substring(end);
  }

  @Test
  void revokedKeyIsRefusedForConnectedCallersAndOpenTransactions() {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    final String transaction = caller.call(callersAddress(0), "transaction-0", null).transaction();
    assertThat(caller.call(callersAddress(1), "read-0", "SELECT 1").code()).isZero();

    long startNanos = System.nanoTime();
    long entry = fleet.apply(FleetPlan.TEAM, teamDeclarationWithoutKey(0));
    fleet.await("settings in force on all instances", () -> inForceOnAllInstances(entry));

    assertThat(System.nanoTime() - startNanos).isLessThan(MAX_PROPAGATION_NANOS);
    for (int i = 0; i < 3; i++) {
      CallerAnswer read = caller.call(callersAddress(i), "read-0", "SELECT 1");
      assertThat(read.code()).isEqualTo(ResultCode.KEY_REFUSED.number());
      CallerAnswer statement =
          caller.call(callersAddress(i), "transactions/" + transaction + "/statement", "SELECT 1");
      assertThat(statement.code()).isEqualTo(ResultCode.KEY_REFUSED.number());
    }
  }

  @Test
  void onlyOneOfConcurrentChangesIsAcceptedAndTheOthersConflict() {
    OperatorClient first = fleet.operator(0);
    OperatorClient second = fleet.operator(1);
    long revision = first.subtree(FleetPlan.TEAM).revision();
    AtomicInteger conflicts = new AtomicInteger();
    List<CompletableFuture<Void>> concurrentChanges = new ArrayList<>();
    for (OperatorClient operator : List.of(first, second, fleet.operator(2))) {
      Change change = rateChange(revision, "race-" + concurrentChanges.size(), 7);
      concurrentChanges.add(
          CompletableFuture.runAsync(
              () -> {
                try {
                  operator.submitChange(FleetPlan.TEAM, change);
                } catch (ProxyException e) {
                  assertThat(e.code()).isEqualTo(ResultCode.SETTINGS_CONFLICT);
                  conflicts.incrementAndGet();
                }
              }));
    }
    concurrentChanges.forEach(CompletableFuture::join);
    assertThat(conflicts.get()).isEqualTo(2);
  }

  private static Change rateChange(long revision, String changeId, long rate) {
    Map<String, String> values = Map.of("rate_per_s", String.valueOf(rate), "burst", "7");
    return new Change(revision, changeId, List.of(new SectionChange("organisation org-0", values)));
  }

  @Test
  void changeRetriedAfterLostResponseIsAcceptedOnce() {
    long revision = fleet.operator(0).subtree(FleetPlan.TEAM).revision();
    fleet.platform().setFaults(new PlatformFaults(false, 0, true));
    long entry =
        fleet.operator(0).submitChange(FleetPlan.TEAM, rateChange(revision, "lost", 9)).entry();
    fleet.platform().setFaults(PlatformFaults.NONE);
    long retriedEntry =
        fleet.operator(1).submitChange(FleetPlan.TEAM, rateChange(revision, "lost", 9)).entry();

    assertThat(retriedEntry).isEqualTo(entry);
    fleet.await("settings in force on all instances", () -> inForceOnAllInstances(entry));
    assertThat(fleet.instances().get(2).status().configEntry()).isEqualTo(entry);
  }

  @Test
  void requestsAndFailoverContinueDuringStoreOutage() {
    fleet.platform().setFaults(new PlatformFaults(true, 0, false));
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    assertThat(caller.call(callersAddress(0), "write-0", "CREATE TABLE t (id INT)").code())
        .isZero();
    String oldPrimary = fleet.primary("group-0");
    fleet.targets().get(oldPrimary).close();
    CallerAnswer after = caller.call(callersAddress(1), "write-0", "INSERT INTO t VALUES (1)");

    assertThat(after.code()).as(after.message()).isZero();
    assertThat(fleet.primary("group-0")).isNotEqualTo(oldPrimary);
    long revision = fleet.operator(0).subtree(FleetPlan.TEAM).revision();
    assertThatThrownBy(
            () -> fleet.operator(0).submitChange(FleetPlan.TEAM, rateChange(revision, "out", 9)))
        .isInstanceOf(ProxyException.class)
        .matches(e -> ((ProxyException) e).code() == ResultCode.SETTINGS_UNKNOWN);
  }

  @Test
  void unauthenticatedRouteNeedsNoKeyAndOtherTeamsRoutesAreForbidden() {
    String open = "[route status]\ngroup = group-0\naccess = read\nopen_as = org-0\n";
    String digest = KeyDigest.of("visitor");
    String visitors =
        "[organisation visitors]\nrate_per_s = 10\n[key v]\norganisation = visitors\n"
            + "digest = "
            + digest
            + "\n";
    fleet.apply(FleetPlan.TEAM, plan.teamDeclaration() + open);
    long entry = fleet.apply("guests", visitors);
    fleet.await("settings in force on all instances", () -> inForceOnAllInstances(entry));
    CallerClient unauthenticated = new CallerClient(CallerClient.newHttpClient(), null);
    CallerClient visitor = new CallerClient(CallerClient.newHttpClient(), "visitor");

    assertThat(unauthenticated.call(callersAddress(0), "status", "SELECT 1").code()).isZero();
    assertThat(unauthenticated.call(callersAddress(0), "read-0", "SELECT 1").code())
        .isEqualTo(ResultCode.KEY_REFUSED.number());
    assertThat(visitor.call(callersAddress(1), "read-0", "SELECT 1").code())
        .isEqualTo(ResultCode.ROUTE_FORBIDDEN.number());
  }

  @Test
  void teamCredentialGrantsAccessToItsOwnSubtreeOnly() {
    String fleetText = IniFile.format(fleet.operator(0).subtree("fleet").sections());
    String digest = KeyDigest.of("team-secret");
    fleet.apply("fleet", fleetText + "[team portal]\ncredential = " + digest + "\n");
    OperatorClient team =
        new OperatorClient(fleet.instances().get(0).operatorsAddress(), "team-secret");

    assertThat(team.subtree(FleetPlan.TEAM).sections()).isNotEmpty();
    assertThatThrownBy(() -> team.subtree("fleet"))
        .isInstanceOf(ProxyException.class)
        .matches(e -> ((ProxyException) e).code() == ResultCode.OPERATOR_REFUSED);
    assertThatThrownBy(() -> team.subtree("other")).isInstanceOf(ProxyException.class);
  }

  @Test
  void lateInstanceReadsSnapshotAndFewEntries() {
    long revision = fleet.operator(0).subtree(FleetPlan.TEAM).revision();
    for (int i = 0; i < 260; i++) {
      revision =
          fleet
              .operator(0)
              .submitChange(FleetPlan.TEAM, rateChange(revision, "s" + i, i + 1))
              .entry();
    }
    long latestEntry = revision;
    long watchesBefore = fleet.platform().callCounts().get("watch");
    Instance lateInstance = fleet.addInstance();
    fleet.await(
        "late instance has the latest settings",
        () -> lateInstance.status().configEntry() == latestEntry);
    assertThat(fleet.platform().callCounts().get("watch") - watchesBefore).isLessThan(100);
    assertThat(lateInstance.control().config().settings().organisations())
        .isEqualTo(fleet.instances().get(0).control().config().settings().organisations());
  }

  @Test
  void instanceStartedDuringStoreOutageLoadsSettingsFromPeers() {
    fleet.platform().setFaults(new PlatformFaults(true, 0, false));
    Instance lateInstance = fleet.addInstance();
    fleet.await(
        "late instance has the settings from its peers",
        () -> lateInstance.status().configEntry() == 2);
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    CallerAnswer answer = caller.call(lateInstance.callersAddress(), "read-0", "SELECT 1");
    assertThat(answer.code()).as(answer.message()).isZero();
  }
}
