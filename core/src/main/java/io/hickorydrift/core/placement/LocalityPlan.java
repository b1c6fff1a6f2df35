package io.hickorydrift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Gives each group a home in each region, near the group's primary or its targets there. Load
 * pattern: short statements in a large fleet, whose latency is mostly the hops from the entry
 * instance to the home and from the home to the target.
 *
 * <p>The home of the primary's region is in the primary's failure domain, if that has an instance
 * with capacity. The number of homes on one instance is bounded, so that not all work goes to one
 * instance when all primaries are in one domain.
 *
 * <p>Invariant: a function of the constructor's arguments. Thread safety: immutable.
 */
public final class LocalityPlan implements HomeAssignment {
  /** An instance, its relative capacity and its failure domain. */
  public record Instance(String id, double weight, String domain) {}

  // Leaves room to place most groups near their targets while none holds much more than its share.
  private static final double MAX_SHARE_FACTOR = 1.5;
  private static final int STANDBYS = HomePlan.RANKED_INSTANCES - 1;
  private static final double OWN_REGION_FRACTION = 0.6;
  private static final double STANDBY_FRACTION = 0.05;
  // For reads that cross regions, and for all work while the target's region has no home.
  private static final double OTHER_REGIONS_FRACTION = 0.15;

  private final Regions regions;
  private final Map<String, String> regionById = new HashMap<>();
  private final Map<String, Map<String, List<String>>> rankedByRegion = new TreeMap<>();

  /** Creates the plan for {@code groups} on {@code instances}. */
  public LocalityPlan(
      Collection<Instance> instances, Regions regions, Collection<GroupTargets> groups) {
    this.regions = regions;
    Map<String, List<Instance>> byRegion = new TreeMap<>();
    for (Instance instance : instances) {
      String region = regions.regionOf(instance.domain());
      regionById.put(instance.id(), region);
      byRegion.computeIfAbsent(region, key -> new ArrayList<>()).add(instance);
    }
    List<GroupTargets> ordered = new ArrayList<>(groups);
    ordered.sort(Comparator.comparing(GroupTargets::group));
    byRegion.forEach(
        (region, members) -> rankedByRegion.put(region, rank(region, members, ordered)));
  }

  private Map<String, List<String>> rank(
      String region, List<Instance> members, List<GroupTargets> groups) {
    List<Instance> weighted = members.stream().filter(member -> member.weight() > 0).toList();
    List<Instance> candidates = weighted.isEmpty() ? members : weighted;
    Map<String, Integer> room = room(candidates, groups.size());
    Map<String, List<Instance>> preferences = new HashMap<>();
    Map<String, Instance> homes = new HashMap<>();
    // Homes near their targets come first, so that a displaced one does not displace them.
    for (GroupTargets group : groups) {
      String anchor = group.anchorDomain(regions, region);
      List<Instance> preferred = preferences(group.group(), anchor, candidates);
      preferences.put(group.group(), preferred);
      takeFirst(
          group.group(),
          preferred.stream().filter(instance -> instance.domain().equals(anchor)).toList(),
          room,
          homes);
    }
    Map<String, List<String>> ranked = new HashMap<>();
    for (GroupTargets group : groups) {
      List<Instance> preferred = preferences.get(group.group());
      takeFirst(group.group(), preferred, room, homes);
      ranked.put(group.group(), ranks(homes.get(group.group()), preferred));
    }
    return ranked;
  }

  /** Returns the maximum number of homes of each candidate. */
  private static Map<String, Integer> room(List<Instance> candidates, int pairs) {
    double total = candidates.stream().mapToDouble(LocalityPlan::share).sum();
    Map<String, Integer> room = new HashMap<>();
    for (Instance candidate : candidates) {
      double share = share(candidate) / total * pairs;
      room.put(candidate.id(), (int) Math.ceil(MAX_SHARE_FACTOR * share));
    }
    return room;
  }

  private static double share(Instance instance) {
    return instance.weight() > 0 ? instance.weight() : 1;
  }

  private static List<Instance> preferences(
      String group, String anchor, List<Instance> candidates) {
    List<Instance> preferred = new ArrayList<>(candidates);
    preferred.sort(
        Comparator.comparing((Instance instance) -> !instance.domain().equals(anchor))
            .thenComparingDouble(
                instance -> -Rendezvous.weightedScore(group, instance.id(), instance.weight()))
            .thenComparing(Instance::id));
    return preferred;
  }

  private static void takeFirst(
      String group,
      List<Instance> preferred,
      Map<String, Integer> room,
      Map<String, Instance> homes) {
    if (homes.containsKey(group)) {
      return;
    }
    for (Instance candidate : preferred) {
      if (room.get(candidate.id()) > 0) {
        room.merge(candidate.id(), -1, Integer::sum);
        homes.put(group, candidate);
        return;
      }
    }
  }

  /**
   * Returns the home and its standbys. The last standby is outside the home's failure domain if
   * there is such an instance, so that the loss of a domain does not take all of them.
   */
  private static List<String> ranks(Instance home, List<Instance> preferred) {
    List<Instance> others = new ArrayList<>(preferred);
    others.remove(home);
    List<Instance> ranked = new ArrayList<>(List.of(home));
    ranked.addAll(others.subList(0, Math.min(STANDBYS, others.size())));
    Predicate<Instance> inDomainOfHome = each -> each.domain().equals(home.domain());
    if (ranked.size() > STANDBYS && ranked.stream().allMatch(inDomainOfHome)) {
      others.stream()
          .filter(inDomainOfHome.negate())
          .findFirst()
          .ifPresent(outside -> ranked.set(STANDBYS, outside));
    }
    return ranked.stream().map(Instance::id).toList();
  }

  @Override
  public Collection<String> regions() {
    return rankedByRegion.keySet();
  }

  @Override
  public List<String> rankedInstances(String group, String region) {
    return rankedByRegion.getOrDefault(region, Map.of()).getOrDefault(group, List.of());
  }

  @Override
  public int maxConnectionsPerTarget(
      String group, int maxConnections, String targetDomain, String id, boolean serving) {
    String region = regionById.getOrDefault(id, "");
    int rank = rankedInstances(group, region).indexOf(id);
    boolean home = rank == 0 || serving;
    String targetRegion = regions.regionOf(targetDomain);
    if (region.equals(targetRegion)) {
      double standby = rank > 0 ? STANDBY_FRACTION : 0;
      return connections(maxConnections, home ? ownRegionFraction() : standby);
    }
    return connections(maxConnections, home ? otherRegionFraction(targetRegion) : 0);
  }

  private static int connections(int maxConnections, double fraction) {
    return Math.max(1, (int) (maxConnections * fraction));
  }

  /** Returns the home's fraction; without other regions, it includes what these would get. */
  private double ownRegionFraction() {
    boolean single = rankedByRegion.size() == 1;
    return OWN_REGION_FRACTION + (single ? OTHER_REGIONS_FRACTION : 0);
  }

  private double otherRegionFraction(String targetRegion) {
    if (!rankedByRegion.containsKey(targetRegion)) {
      return (OWN_REGION_FRACTION + OTHER_REGIONS_FRACTION) / rankedByRegion.size();
    }
    return OTHER_REGIONS_FRACTION / (rankedByRegion.size() - 1);
  }

  @Override
  public int maxConnectionsAtStart(
      String group, int maxConnections, String targetDomain, String id) {
    String targetRegion = regions.regionOf(targetDomain);
    List<String> ranked = rankedInstances(group, targetRegion);
    if (ranked.isEmpty() || !ranked.get(0).equals(id)) {
      return 1;
    }
    int dead = 0;
    int others = 0;
    for (String region : regions()) {
      List<String> inRegion = rankedInstances(group, region);
      boolean near = region.equals(targetRegion);
      for (String each : near ? inRegion : inRegion.subList(0, 1)) {
        dead += maxConnectionsPerTarget(group, maxConnections, targetDomain, each, false);
        others++;
      }
    }
    return Math.max(1, maxConnections - dead - (others - 1));
  }
}
