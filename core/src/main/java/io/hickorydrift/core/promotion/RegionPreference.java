package io.hickorydrift.core.promotion;

import io.hickorydrift.core.placement.Regions;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;

/**
 * Orders failure domains by how well a primary there serves the writers of its group; the greater
 * one is better. Load pattern: the primary of a group with writers in several regions is lost, and
 * each write from another region costs a round trip between regions from then on.
 *
 * <p>A region from which more writes came is better; among equals, one in which the store is
 * reachable. All domains are equal if the settings do not name more than one region.
 *
 * <p>Thread safety: immutable.
 *
 * @param regions regions of the failure domains
 * @param writesByRegion writes of the last 60 s by the region of the entry instance
 * @param regionsWithStore regions in which the store is reachable
 */
public record RegionPreference(
    Regions regions, Map<String, Long> writesByRegion, Set<String> regionsWithStore)
    implements Comparator<String> {
  /** No preference. */
  public static final RegionPreference NONE =
      new RegionPreference(Regions.NONE, Map.of(), Set.of());

  /** Copies the collections. */
  public RegionPreference {
    writesByRegion = Map.copyOf(writesByRegion);
    regionsWithStore = Set.copyOf(regionsWithStore);
  }

  @Override
  public int compare(String leftDomain, String rightDomain) {
    if (!regions.isMultiRegion()) {
      return 0;
    }
    String left = regions.regionOf(leftDomain);
    String right = regions.regionOf(rightDomain);
    int byWrites =
        Long.compare(writesByRegion.getOrDefault(left, 0L), writesByRegion.getOrDefault(right, 0L));
    return byWrites != 0
        ? byWrites
        : Boolean.compare(regionsWithStore.contains(left), regionsWithStore.contains(right));
  }
}
