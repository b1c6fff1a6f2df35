package io.hickorydrift.core.placement;

/** How far two failure domains are apart. */
public enum Proximity {
  /** The same failure domain. */
  SAME_DOMAIN("domain"),
  /** Another failure domain of the same region; a round trip takes about two milliseconds. */
  SAME_REGION("region"),
  /** Another region; a round trip takes tens of milliseconds. */
  OTHER_REGION("other_region");

  private final String label;

  Proximity(String label) {
    this.label = label;
  }

  /** Returns the name for use in metrics. */
  public String label() {
    return label;
  }

  /** Returns how far {@code domain} and {@code other} are apart. */
  public static Proximity between(String domain, String other, Regions regions) {
    if (domain.equals(other)) {
      return SAME_DOMAIN;
    }
    boolean sameRegion = regions.regionOf(domain).equals(regions.regionOf(other));
    return sameRegion ? SAME_REGION : OTHER_REGION;
  }
}
