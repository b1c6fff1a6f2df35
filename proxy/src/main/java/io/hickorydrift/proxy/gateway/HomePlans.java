package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.placement.GroupTargets;
import io.hickorydrift.core.placement.HomeAssignment;
import io.hickorydrift.core.placement.HomePlan;
import io.hickorydrift.core.placement.LocalityPlan;
import io.hickorydrift.core.placement.Regions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tinylog.Logger;

/**
 * Plans of the groups' homes, kept up to date with the fleet, the declaration and the targets.
 *
 * <p>Invariant: while a group has no primary, its last known one counts, so that homes do not move
 * twice during a promotion. Thread safety: confined to the loop's thread.
 */
final class HomePlans {
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Directory directory;
  private final String self;
  private final Regions regions;
  private final Map<String, String> primaryDomains = new HashMap<>();
  private final Map<String, GroupTargets> localGroups = new HashMap<>();
  private HomePlan fleetWide;
  private LocalityPlan byLocality;
  private long fleetChangeCount = -1;
  private long directoryChangeCount = -1;
  private long declarationVersion = Long.MIN_VALUE;
  private Set<LocalityPlan.Instance> instances = Set.of();
  private Set<String> ownHomes = Set.of();
  private long changeCount;

  HomePlans(
      Declarations declarations,
      FleetMembership fleet,
      Directory directory,
      String self,
      Regions regions) {
    this.declarations = declarations;
    this.fleet = fleet;
    this.directory = directory;
    this.self = self;
    this.regions = regions;
  }

  /** Returns the plan that observers, and groups to which distance does not matter, use. */
  HomePlan fleetWide() {
    refresh();
    return fleetWide;
  }

  /** Returns the assignment that holds for {@code group}. */
  HomeAssignment of(String group) {
    refresh();
    return localGroups.containsKey(group) ? byLocality : fleetWide;
  }

  /** Returns whether the homes of {@code group} are placed by locality. */
  boolean isByLocality(String group) {
    refresh();
    return localGroups.containsKey(group);
  }

  /** Returns a number that changes whenever a home may have moved. */
  long changeCount() {
    refresh();
    return changeCount;
  }

  /** Returns the region of the current or last known primary of {@code group}. */
  String primaryRegion(String group) {
    refresh();
    GroupTargets targets = localGroups.get(group);
    return targets == null ? "" : regions.regionOf(targets.anchorDomain());
  }

  /** Returns the regions with a target of {@code group} that accepts new work. */
  Set<String> targetRegions(String group) {
    Set<String> found = new HashSet<>();
    for (TargetState target : directory.targetsOf(group)) {
      if (target.acceptsNewWork()) {
        found.add(regions.regionOf(target.entry().failureDomain()));
      }
    }
    return found;
  }

  /** Returns the pairs of a group and a region that this instance is the home of. */
  Set<String> ownHomes() {
    refresh();
    return ownHomes;
  }

  private void refresh() {
    boolean fleetChanged = fleetChangeCount != fleet.changeCount();
    boolean unchanged =
        !fleetChanged
            && directoryChangeCount == directory.changeCount()
            && declarationVersion == declarations.current().version();
    if (unchanged) {
      return;
    }
    fleetChangeCount = fleet.changeCount();
    directoryChangeCount = directory.changeCount();
    declarationVersion = declarations.current().version();
    if (fleetChanged) {
      fleetWide = new HomePlan(fleet.members());
    }
    Map<String, GroupTargets> groups = groupsByLocality();
    Set<LocalityPlan.Instance> members = members();
    boolean moved = byLocality == null || !groups.equals(localGroups) || !members.equals(instances);
    if (moved) {
      instances = members;
      localGroups.clear();
      localGroups.putAll(groups);
      byLocality = new LocalityPlan(members, regions, groups.values());
    }
    if (moved || fleetChanged) {
      changeCount++;
    }
    updateOwnHomes();
  }

  private Set<LocalityPlan.Instance> members() {
    Set<LocalityPlan.Instance> members = new HashSet<>();
    for (HomePlan.Member member : fleet.members()) {
      members.add(
          new LocalityPlan.Instance(
              member.id(), member.weight(), fleet.failureDomainOf(member.id())));
    }
    return members;
  }

  private Map<String, GroupTargets> groupsByLocality() {
    Map<String, GroupTargets> groups = new HashMap<>();
    for (DeclaredGroup declared : declarations.current().groups().values()) {
      String name = declared.name();
      boolean distanceMatters = regions.isMultiRegion() || declarations.isUrgent(name);
      if (distanceMatters && !fleetWide.isDirect(declared.maxConnections())) {
        groups.put(name, targetsOf(name));
      }
    }
    return groups;
  }

  private GroupTargets targetsOf(String group) {
    TargetState primary = directory.primaryOf(group);
    if (primary != null) {
      primaryDomains.put(group, primary.entry().failureDomain());
    }
    List<TargetState> targets = new ArrayList<>(directory.targetsOf(group));
    targets.sort(Comparator.comparing(target -> target.entry().id()));
    return new GroupTargets(
        group,
        primaryDomains.getOrDefault(group, ""),
        targets.stream().map(target -> target.entry().failureDomain()).toList());
  }

  private void updateOwnHomes() {
    Set<String> homes = new TreeSet<>();
    for (DeclaredGroup group : declarations.current().groups().values()) {
      if (fleetWide.isDirect(group.maxConnections())) {
        continue;
      }
      HomeAssignment assignment = localGroups.containsKey(group.name()) ? byLocality : fleetWide;
      for (String region : assignment.regions()) {
        List<String> ranked = assignment.rankedInstances(group.name(), region);
        if (!ranked.isEmpty() && ranked.get(0).equals(self)) {
          homes.add(region.isEmpty() ? group.name() : group.name() + "/" + region);
        }
      }
    }
    if (!homes.equals(ownHomes)) {
      Logger.info("event=homes_changed homes={} before={}", homes, ownHomes);
      ownHomes = homes;
    }
  }
}
