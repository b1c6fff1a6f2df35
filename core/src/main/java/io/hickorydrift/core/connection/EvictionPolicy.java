package io.hickorydrift.core.connection;

import java.util.function.Supplier;

/** The ways of choosing which connection makes room. */
public enum EvictionPolicy {
  /** The one idle longest. */
  LEAST_RECENTLY_USED(LeastRecentlyUsedEvictor::new),
  /** The one least likely to be wanted soon. */
  LEAST_EXPECTED_COST(LeastExpectedCostEvictor::new),
  /** The one idle longest, but for one of each of the largest organisations. */
  PINNED_LARGE(PinnedLargeEvictor::new);

  private final Supplier<ConnectionEvictor> factory;

  EvictionPolicy(Supplier<ConnectionEvictor> factory) {
    this.factory = factory;
  }

  /** Returns a new chooser. */
  public ConnectionEvictor newEvictor() {
    return factory.get();
  }
}
