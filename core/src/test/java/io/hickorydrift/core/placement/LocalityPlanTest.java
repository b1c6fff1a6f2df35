package io.hickorydrift.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.placement.LocalityPlan.Instance;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against instances that disagree on a group's home, homes far from their targets, homes
 * that move without a reason, an instance with most homes, and budgets beyond a target's limit.
 */
class LocalityPlanTest {
  private static final Regions REGIONS =
      new Regions(
          Map.of("n1", "north", "n2", "north", "n3", "north", "s1", "south", "s2", "south"));
  private static final List<String> DOMAINS = List.of("n1", "n2", "n3", "s1", "s2");

  /** A random fleet and random targets. */
  private record View(List<Instance> instances, List<GroupTargets> groups) {
    static View of(long seed, int size) {
      Random random = new Random(seed);
      List<Instance> instances = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        double weight = random.nextInt(3) == 0 ? 0 : 0.25 + random.nextInt(3);
        instances.add(new Instance("gw-" + i, weight, anyDomain(random)));
      }
      List<GroupTargets> groups = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(12); i++) {
        List<String> domains = new ArrayList<>(DOMAINS);
        Collections.shuffle(domains, random);
        String primary = random.nextInt(5) == 0 ? "" : domains.get(random.nextInt(3));
        groups.add(new GroupTargets("g" + i, primary, domains.subList(0, 3)));
      }
      return new View(instances, groups);
    }

    private static String anyDomain(Random random) {
      return DOMAINS.get(random.nextInt(DOMAINS.size()));
    }

    LocalityPlan plan() {
      return new LocalityPlan(instances, REGIONS, groups);
    }

    View with(List<Instance> others) {
      return new View(others, groups);
    }

    Instance instance(String id) {
      return instances.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
    }

    List<Instance> candidates(String region) {
      List<Instance> all =
          instances.stream()
              .filter(each -> REGIONS.regionOf(each.domain()).equals(region))
              .toList();
      List<Instance> weighted = all.stream().filter(each -> each.weight() > 0).toList();
      return weighted.isEmpty() ? all : weighted;
    }

    int bound(String id) {
      String region = REGIONS.regionOf(instance(id).domain());
      double total = candidates(region).stream().mapToDouble(View::share).sum();
      return (int) Math.ceil(1.5 * (share(instance(id)) / total * groups.size()));
    }

    private static double share(Instance instance) {
      return instance.weight() > 0 ? instance.weight() : 1;
    }

    /** Returns the home of each pair of a group and a region, by "group region". */
    Map<String, String> homes() {
      LocalityPlan plan = plan();
      Map<String, String> homes = new HashMap<>();
      for (String region : plan.regions()) {
        for (GroupTargets group : groups) {
          homes.put(
              group.group() + " " + region, plan.rankedInstances(group.group(), region).get(0));
        }
      }
      return homes;
    }

    int homesOn(String id) {
      return Collections.frequency(homes().values(), id);
    }
  }

  @Property(tries = 300, seed = "20261205")
  void sameViewInAnyOrderGivesTheSamePlan(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int size) {
    View view = View.of(seed, size);
    List<Instance> instances = new ArrayList<>(view.instances());
    List<GroupTargets> groups = new ArrayList<>(view.groups());
    Collections.shuffle(instances, new Random(seed + 1));
    Collections.shuffle(groups, new Random(seed + 2));
    LocalityPlan plan = view.plan();
    LocalityPlan shuffled = new LocalityPlan(instances, REGIONS, groups);
    assertThat(shuffled.regions()).containsExactlyElementsOf(plan.regions());
    for (String region : plan.regions()) {
      for (GroupTargets group : groups) {
        assertThat(shuffled.rankedInstances(group.group(), region))
            .isEqualTo(plan.rankedInstances(group.group(), region));
      }
    }
  }

  @Property(tries = 300, seed = "20261206")
  void ranksAreDistinctCandidatesOfTheRegion(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int size) {
    View view = View.of(seed, size);
    LocalityPlan plan = view.plan();
    for (String region : plan.regions()) {
      List<String> candidates = view.candidates(region).stream().map(Instance::id).toList();
      for (GroupTargets group : view.groups()) {
        List<String> ranked = plan.rankedInstances(group.group(), region);
        assertThat(ranked).doesNotHaveDuplicates().isSubsetOf(candidates);
        assertThat(ranked).hasSize(Math.min(HomePlan.RANKED_INSTANCES, candidates.size()));
        Set<String> domains = new HashSet<>();
        ranked.forEach(id -> domains.add(view.instance(id).domain()));
        Set<String> available = new HashSet<>();
        view.candidates(region).forEach(each -> available.add(each.domain()));
        if (ranked.size() == HomePlan.RANKED_INSTANCES && available.size() > 1) {
          assertThat(domains.size()).isGreaterThan(1);
        }
      }
    }
  }

  @Property(tries = 300, seed = "20261207")
  void homesAreInTheAnchorDomainUnlessItsInstancesAreFull(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int size) {
    View view = View.of(seed, size);
    Map<String, String> homes = view.homes();
    for (GroupTargets group : view.groups()) {
      for (String region : view.plan().regions()) {
        String anchor = group.anchorDomain(REGIONS, region);
        String home = homes.get(group.group() + " " + region);
        if (!view.instance(home).domain().equals(anchor)) {
          assertThat(view.candidates(region))
              .filteredOn(each -> each.domain().equals(anchor))
              .allSatisfy(each -> assertThat(view.homesOn(each.id())).isEqualTo(bound(view, each)));
        }
      }
    }
  }

  private static int bound(View view, Instance instance) {
    return view.bound(instance.id());
  }

  @Property(tries = 300, seed = "20261208")
  void noInstanceHasMoreHomesThanItsBound(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int size) {
    View view = View.of(seed, size);
    for (Instance instance : view.instances()) {
      if (view.homesOn(instance.id()) > 0) {
        assertThat(view.homesOn(instance.id())).isLessThanOrEqualTo(bound(view, instance));
      }
    }
  }

  /**
   * Asserts that homes move only from instances that are gone, to instances that are new, or
   * because of the bound: the old home is full now, or was not the first choice before.
   */
  private static void assertOnlyNecessaryMoves(View before, View after) {
    Map<String, String> old = before.homes();
    Set<String> kept = new HashSet<>();
    after.instances().forEach(each -> kept.add(each.id()));
    Set<String> added = new HashSet<>(kept);
    before.instances().forEach(each -> added.remove(each.id()));
    after
        .homes()
        .forEach(
            (pair, home) -> {
              String previous = old.get(pair);
              boolean moved = previous != null && !previous.equals(home);
              if (moved && kept.contains(previous) && !added.contains(home)) {
                boolean fullNow = after.homesOn(previous) >= after.bound(previous);
                boolean fullBefore = before.homesOn(home) >= before.bound(home);
                assertThat(fullNow || fullBefore).as(pair).isTrue();
              }
            });
  }

  @Property(tries = 300, seed = "20261209")
  void removedInstanceMovesOnlyItsPairsAndThoseThatTheBoundDisplaces(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int size) {
    View view = View.of(seed, size);
    Instance removed = view.instances().get((int) Math.floorMod(seed, (long) size));
    List<Instance> remaining = new ArrayList<>(view.instances());
    remaining.remove(removed);
    List<Instance> before = view.candidates(REGIONS.regionOf(removed.domain()));
    if (before.equals(List.of(removed))) {
      return;
    }
    assertOnlyNecessaryMoves(view, view.with(remaining));
  }

  @Property(tries = 300, seed = "20261210")
  void addedThirdOfTheInstancesTakesOnlyItsPart(
      @ForAll long seed, @ForAll @IntRange(min = 3, max = 45) int size) {
    View after = View.of(seed, size);
    View before = after.with(after.instances().subList(0, size - size / 3));
    for (String region : before.plan().regions()) {
      boolean newCandidates =
          before.candidates(region).stream().allMatch(each -> each.weight() == 0);
      if (newCandidates) {
        return;
      }
    }
    assertOnlyNecessaryMoves(before, after);
  }

  @Test
  void homesOfPrimariesInOneDomainAreSpreadOverTheRegion() {
    List<Instance> instances = new ArrayList<>();
    for (String domain : List.of("n1", "n2", "n3")) {
      instances.add(new Instance(domain + "-a", 1, domain));
      instances.add(new Instance(domain + "-b", 1, domain));
    }
    List<GroupTargets> groups = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      groups.add(new GroupTargets("g" + i, "n1", List.of("n1", "n2", "s1")));
    }
    View view = new View(instances, groups);
    assertThat(view.homesOn("n1-a")).isEqualTo(2);
    assertThat(view.homesOn("n1-b")).isEqualTo(2);
  }

  @Test
  void changeOfPrimaryMovesOnlyTheHomeOfItsRegion() {
    List<Instance> instances = new ArrayList<>();
    for (String domain : DOMAINS) {
      instances.add(new Instance(domain + "-a", 1, domain));
    }
    List<String> targets = List.of("n1", "n2", "s1");
    View before = new View(instances, List.of(new GroupTargets("g", "n1", targets)));
    View after = new View(instances, List.of(new GroupTargets("g", "n2", targets)));
    assertThat(before.homes()).containsEntry("g north", "n1-a").containsEntry("g south", "s1-a");
    assertThat(after.homes()).containsEntry("g north", "n2-a").containsEntry("g south", "s1-a");
  }

  /** The rest is left to instances that restart while a target still counts dead connections. */
  @ParameterizedTest
  @CsvSource({"70, 74", "56, 80", "160, 71", "24, 30"})
  void budgetsStayUnderTheTargetsLimit(int connections, int size) {
    View view = View.of(7, size);
    LocalityPlan plan = view.plan();
    for (String domain : DOMAINS) {
      int ranked = 0;
      int opened = 0;
      for (String region : plan.regions()) {
        for (String id : plan.rankedInstances("g0", region)) {
          ranked += plan.maxConnectionsPerTarget("g0", connections, domain, id, false);
          opened += plan.maxConnectionsAtStart("g0", connections, domain, id);
        }
      }
      assertThat(ranked).isLessThanOrEqualTo((int) (connections * 0.95));
      assertThat(opened).isPositive();
    }
  }

  @Test
  void homeOfTheTargetsRegionGetsMostConnections() {
    List<Instance> instances = new ArrayList<>();
    for (String domain : DOMAINS) {
      instances.add(new Instance(domain + "-a", 1, domain));
    }
    List<GroupTargets> groups = List.of(new GroupTargets("g", "n1", List.of("n1", "n2", "s1")));
    LocalityPlan plan = new LocalityPlan(instances, REGIONS, groups);
    assertThat(plan.maxConnectionsPerTarget("g", 70, "n2", "n1-a", false)).isEqualTo(42);
    assertThat(plan.maxConnectionsPerTarget("g", 70, "n2", "n2-a", false)).isEqualTo(3);
    assertThat(plan.maxConnectionsPerTarget("g", 70, "n2", "n2-a", true)).isEqualTo(42);
    assertThat(plan.maxConnectionsPerTarget("g", 70, "n2", "s1-a", false)).isEqualTo(10);
    assertThat(plan.maxConnectionsPerTarget("g", 70, "n2", "s2-a", false)).isEqualTo(1);
    LocalityPlan north = new LocalityPlan(instances.subList(0, 3), REGIONS, groups);
    assertThat(north.maxConnectionsPerTarget("g", 70, "n2", "n1-a", false)).isEqualTo(52);
    assertThat(north.maxConnectionsPerTarget("g", 70, "s1", "n1-a", false)).isEqualTo(52);
  }

  @Property(tries = 200, seed = "20261211")
  void planWithoutRegionsIsTheSameThroughTheInterface(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int size) {
    List<HomePlan.Member> members = new ArrayList<>();
    View.of(seed, size)
        .instances()
        .forEach(each -> members.add(new HomePlan.Member(each.id(), each.weight())));
    HomePlan plan = new HomePlan(members);
    HomeAssignment assignment = plan;
    assertThat(assignment.regions()).containsExactly("");
    assertThat(assignment.rankedInstances("g", "")).isEqualTo(plan.rankedInstances("g"));
    for (HomePlan.Member member : members) {
      for (boolean serving : new boolean[] {true, false}) {
        assertThat(assignment.maxConnectionsPerTarget("g", 60, "n1", member.id(), serving))
            .isEqualTo(plan.maxConnectionsPerTarget("g", 60, member.id(), serving));
      }
      assertThat(assignment.maxConnectionsAtStart("g", 60, "n1", member.id()))
          .isEqualTo(plan.maxConnectionsAtStart("g", 60, member.id()));
    }
  }
}
