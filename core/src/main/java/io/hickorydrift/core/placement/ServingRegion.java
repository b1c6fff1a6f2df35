package io.hickorydrift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the region whose home runs a statement. Load pattern: callers in several regions, with
 * tens of milliseconds between these; a read stays in its region, and a statement that needs the
 * primary crosses regions once.
 *
 * <p>Thread safety: immutable.
 *
 * @param entryRegion region of the instance that holds the caller's connection
 */
public record ServingRegion(String entryRegion) {
  /**
   * A statement, as far as its region depends on it.
   *
   * @param needsPrimary whether only the primary can run it
   * @param primaryRegion region of the group's current or last known primary
   * @param targetRegions regions with a target of the group that accepts new work
   * @param allowed tests whether the statement may run in a region
   */
  public record Work(
      boolean needsPrimary,
      String primaryRegion,
      Set<String> targetRegions,
      Predicate<String> allowed) {}

  /**
   * Returns the regions whose homes may run {@code work}, the preferred one first; the next is used
   * while no instance of it is reachable. The entry's own region is always among them, since the
   * statement is there already.
   *
   * @param homeRegions regions that have homes
   */
  public List<String> inOrder(Work work, Collection<String> homeRegions) {
    Set<String> order = new LinkedHashSet<>();
    boolean servedHere = work.targetRegions().contains(entryRegion);
    if (!work.needsPrimary() && servedHere && work.allowed().test(entryRegion)) {
      order.add(entryRegion);
    }
    order.add(work.primaryRegion());
    order.add(entryRegion);
    order.addAll(homeRegions);
    List<String> usable = new ArrayList<>();
    for (String region : order) {
      boolean mayBeSent = region.equals(entryRegion) || work.allowed().test(region);
      if (homeRegions.contains(region) && mayBeSent) {
        usable.add(region);
      }
    }
    return usable;
  }
}
