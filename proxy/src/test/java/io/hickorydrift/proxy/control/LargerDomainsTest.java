package io.hickorydrift.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.Instance;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against peers, settings or leaving targets that do not reach all instances in domains with
 * more instances than relays, where most instances get them through relays.
 */
class LargerDomainsTest {
  private static final int INSTANCES = 12;

  private LocalFleet fleet;

  @BeforeEach
  void start() {
    fleet = LocalFleet.start(FleetPlan.builder().instances(INSTANCES).build());
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private boolean allListPeers(int peers) {
    return fleet.instances().stream()
        .allMatch(instance -> instance.status().peers().size() == peers);
  }

  @Test
  void everyInstanceServesWritesAndGetsNewSettingsAndLostPeers() {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    String first = fleet.instances().get(0).callersAddress();
    assertThat(caller.call(first, "write-0", "CREATE TABLE t (n INT)").code()).isZero();
    for (Instance instance : fleet.instances()) {
      String address = instance.callersAddress();
      CallerAnswer written = caller.call(address, "write-0", "INSERT INTO t VALUES (1)");
      assertThat(written.code()).as(written.message()).isZero();
    }
    long entry = fleet.apply(FleetPlan.TEAM, "");
    fleet.await(
        "settings at all instances",
        () ->
            fleet.instances().stream()
                .allMatch(instance -> instance.status().configEntry() == entry));

    List<Instance> lost = new ArrayList<>(List.of(fleet.instances().get(4)));
    lost.forEach(Instance::close);
    fleet.instances().removeAll(lost);
    fleet.await("lost peer removed at all instances", () -> allListPeers(INSTANCES - 2));
  }

  /**
   * Guards against lost answers of homes in other domains, which usually have no link to the entry
   * instance. The caller would get an unknown outcome for a write that took effect.
   */
  @Test
  void writesAreAnsweredByHomesOfOtherDomains() {
    CallerClient caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    String first = fleet.instances().get(0).callersAddress();
    assertThat(caller.call(first, "write-0", "CREATE TABLE t (n INT)").code()).isZero();
    List<Instance> homes =
        fleet.instances().stream().filter(each -> !each.status().groups().isEmpty()).toList();
    for (Instance home : homes.subList(0, homes.size() - 1)) {
      home.close();
      fleet.instances().remove(home);
    }
    // A write that is sent over a link to a closed instance ends with an unknown outcome, rightly.
    int left = fleet.instances().size();
    fleet.await("closed homes removed at all instances", () -> allListPeers(left - 1));
    for (Instance instance : fleet.instances()) {
      CallerAnswer written =
          caller.call(instance.callersAddress(), "write-0", "INSERT INTO t VALUES (1)");
      assertThat(written.code()).as(instance.id() + " " + written.message()).isZero();
    }
  }

  @Test
  void leavingTargetReachesEveryHome() {
    String leaving = FleetPlan.targetId(0, 1);
    fleet.listAsLeaving(leaving);
    fleet.await(
        "leaving target at all homes",
        () ->
            fleet.instances().stream()
                .flatMap(instance -> instance.status().groups().values().stream())
                .allMatch(group -> group.leavingTargets().equals(List.of(leaving))));
  }
}
