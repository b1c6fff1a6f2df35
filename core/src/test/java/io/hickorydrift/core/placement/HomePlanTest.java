package io.hickorydrift.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.placement.HomePlan.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HomePlanTest {
  private static List<Member> members(int count, double weight) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("gw-" + i, weight));
    }
    return members;
  }

  @ParameterizedTest
  @CsvSource({"7, 22, true", "7, 30, true", "9, 22, false", "86, 60, false", "71, 160, false"})
  void plansDirectConnectionsWhileConnectionsSuffice(
      int instances, int connections, boolean direct) {
    assertThat(new HomePlan(members(instances, 1)).isDirect(connections)).isEqualTo(direct);
  }

  @Test
  void directConnectionsStayWithinTheTargetsLimit() {
    HomePlan plan = new HomePlan(members(7, 1));
    assertThat(plan.maxConnectionsPerTarget("g", 22, "gw-3", true) * 7).isLessThanOrEqualTo(22);
  }

  @ParameterizedTest
  @CsvSource({"7, 22", "7, 30", "86, 60", "71, 160"})
  void restartedInstancesStayWithinTheLimitDespiteDeadConnections(int instances, int connections) {
    HomePlan plan = new HomePlan(members(instances, 1));
    int deadConnections = 0;
    int opened = 0;
    for (Member member : members(instances, 1)) {
      if (plan.isDirect(connections) || plan.rankedInstances("g").contains(member.id())) {
        boolean home = plan.rankedInstances("g").get(0).equals(member.id());
        deadConnections += plan.maxConnectionsPerTarget("g", connections, member.id(), home);
        opened += plan.maxConnectionsAtStart("g", connections, member.id());
      }
    }
    assertThat(opened).isPositive();
    assertThat(deadConnections + opened).isLessThanOrEqualTo(connections);
  }

  @Test
  void membersWithoutWeightAreUsedOnlyIfAllHaveNone() {
    List<Member> mixed = members(20, 0);
    mixed.add(new Member("strong", 1));
    assertThat(new HomePlan(mixed).rankedInstances("g")).containsExactly("strong");
    assertThat(new HomePlan(members(20, 0)).rankedInstances("g"))
        .hasSize(HomePlan.RANKED_INSTANCES);
  }

  @Test
  void removedInstanceMovesOnlyItsOwnGroups() {
    List<Member> before = members(20, 1);
    HomePlan full = new HomePlan(before);
    HomePlan reduced = new HomePlan(before.subList(1, 20));
    for (int i = 0; i < 200; i++) {
      String group = "g" + i;
      if (!full.rankedInstances(group).contains("gw-0")) {
        assertThat(reduced.rankedInstances(group)).isEqualTo(full.rankedInstances(group));
      }
    }
  }

  @Test
  void groupsAreDistributedByWeight() {
    List<Member> members = members(10, 0.5);
    members.addAll(List.of(new Member("big-1", 1.5), new Member("big-2", 1.5)));
    HomePlan plan = new HomePlan(members);
    Map<String, Integer> homes = new HashMap<>();
    for (int i = 0; i < 4_000; i++) {
      homes.merge(plan.rankedInstances("g" + i).get(0), 1, Integer::sum);
    }
    assertThat(homes.get("big-1")).isBetween(600, 900);
    assertThat(homes.get("gw-3")).isBetween(170, 330);
  }
}
