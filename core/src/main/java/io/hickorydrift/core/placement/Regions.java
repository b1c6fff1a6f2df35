package io.hickorydrift.core.placement;

import java.util.HashSet;
import java.util.Map;

/**
 * The region of each failure domain. Round trips between regions take tens of milliseconds, those
 * between the failure domains of a region about one.
 *
 * <p>Thread safety: immutable.
 *
 * @param regionByDomain region by failure domain
 */
public record Regions(Map<String, String> regionByDomain) {
  /** All failure domains are in one region without a name. */
  public static final Regions NONE = new Regions(Map.of());

  private static final String UNNAMED = "";

  /** Copies the map. */
  public Regions {
    regionByDomain = Map.copyOf(regionByDomain);
  }

  /** Returns the region of {@code failureDomain}; a domain that is not listed has an empty one. */
  public String regionOf(String failureDomain) {
    return regionByDomain.getOrDefault(failureDomain, UNNAMED);
  }

  /** Returns whether the failure domains are in more than one region. */
  public boolean isMultiRegion() {
    return new HashSet<>(regionByDomain.values()).size() > 1;
  }
}
