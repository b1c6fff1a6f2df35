package io.hickorydrift.core.placement;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Group;
import io.hickorydrift.core.config.Settings.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Assigns the homes of each database group to slots: the highest-ranked slots by rendezvous hashing
 * in each failure domain that has a target of the group. During a network partition, an isolated
 * domain thus still has a home next to its own target.
 *
 * <p>Invariant: a function of the settings alone, so that all instances agree and a target's
 * connections can be divided between homes without communication.
 *
 * <p>Thread safety: stateless.
 */
public final class HomeSlots {
  private HomeSlots() {}

  /** Returns the fleet-wide numbers of the slots that are homes of {@code group}. */
  public static List<Integer> slotsOf(Settings settings, Group group) {
    SortedSet<String> domains = new TreeSet<>();
    for (Target target : group.targets()) {
      domains.add(target.failureDomain());
    }
    List<Integer> homes = new ArrayList<>();
    for (String domain : domains) {
      int firstSlot = settings.firstSlot(domain);
      if (firstSlot >= 0) {
        homes.addAll(highestRanked(group, firstSlot, settings.slots().get(domain)));
      }
    }
    return homes;
  }

  private static List<Integer> highestRanked(Group group, int firstSlot, int count) {
    List<Integer> slots = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      slots.add(firstSlot + i);
    }
    List<Integer> ranked = Rendezvous.rank(group.name(), slots);
    return ranked.subList(0, Math.min(group.homesPerDomain(), ranked.size()));
  }

  /**
   * Returns the maximum number of connections from one home to {@code target}, given the usable
   * fraction of its slot.
   */
  public static int connectionsPerHome(Target target, int homes, double usableFraction) {
    return (int) (target.maxConnections() * Math.min(1, usableFraction) / Math.max(1, homes));
  }
}
