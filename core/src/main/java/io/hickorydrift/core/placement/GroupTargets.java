package io.hickorydrift.core.placement;

import java.util.List;

/**
 * The failure domains of a group's targets, as an input of {@link LocalityPlan}.
 *
 * <p>Thread safety: immutable.
 *
 * @param group name of the group
 * @param primaryDomain failure domain of the current primary, or of the last known one; empty if
 *     there has been none
 * @param targetDomains failure domains of the targets, in the order of the targets' ids
 */
public record GroupTargets(String group, String primaryDomain, List<String> targetDomains) {
  /** Copies the list. */
  public GroupTargets {
    targetDomains = List.copyOf(targetDomains);
  }

  /** Returns the domain of the primary, or of the first target if there has been no primary. */
  public String anchorDomain() {
    if (!primaryDomain.isEmpty() || targetDomains.isEmpty()) {
      return primaryDomain;
    }
    return targetDomains.get(0);
  }

  /**
   * Returns the domain near which the group's home in {@code region} is placed, or an empty text if
   * the group has no target there.
   */
  public String anchorDomain(Regions regions, String region) {
    String primary = anchorDomain();
    if (!primary.isEmpty() && regions.regionOf(primary).equals(region)) {
      return primary;
    }
    for (String domain : targetDomains) {
      if (regions.regionOf(domain).equals(region)) {
        return domain;
      }
    }
    return "";
  }
}
