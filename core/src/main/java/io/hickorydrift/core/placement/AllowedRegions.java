package io.hickorydrift.core.placement;

import java.util.HashSet;
import java.util.Set;

/**
 * The regions that may run an operation and see the text of its statements. Load pattern:
 * organisations whose data must not leave some regions, on a fleet that spans more of them; a
 * statement that only another region could run is refused rather than moved.
 *
 * <p>Invariant: a restricted value without a region allows nothing; it arises if a route and an
 * organisation allow different regions. Thread safety: immutable.
 *
 * @param restricted whether only {@code regions} are allowed
 * @param regions names of the allowed regions; empty if not restricted
 */
public record AllowedRegions(boolean restricted, Set<String> regions) {
  /** Allows all regions. */
  public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

  /** Copies the set. */
  public AllowedRegions {
    regions = restricted ? Set.copyOf(regions) : Set.of();
  }

  /**
   * Returns the regions that both {@code ofRoute} and {@code ofOrganisation} allow; an empty set
   * allows all regions.
   */
  public static AllowedRegions of(Set<String> ofRoute, Set<String> ofOrganisation) {
    if (ofRoute.isEmpty() && ofOrganisation.isEmpty()) {
      return ALL;
    }
    Set<String> both = new HashSet<>(ofRoute.isEmpty() ? ofOrganisation : ofRoute);
    if (!ofOrganisation.isEmpty()) {
      both.retainAll(ofOrganisation);
    }
    return new AllowedRegions(true, both);
  }

  /** Returns whether a target in {@code region} may run the statements. */
  public boolean allowsTarget(String region) {
    return !restricted || regions.contains(region);
  }

  /**
   * Returns whether an instance in {@code region} may see the text of the statements.
   *
   * @param entryRegion region of the instance that the caller is connected to, which sees it anyway
   */
  public boolean allowsText(String region, String entryRegion) {
    return allowsTarget(region) || region.equals(entryRegion);
  }
}
