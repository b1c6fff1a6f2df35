package io.hickorydrift.core.connection;

import java.util.function.Supplier;

/** The ways of choosing which connection makes room. */
public enum KeepingPolicy {
  /** The one idle longest. */
  LEAST_RECENTLY_USED(LeastRecentlyUsed::new),
  /** The one least likely to be wanted soon. */
  LEAST_EXPECTED_COST(LeastExpectedCost::new),
  /** The one idle longest, but for one of each of the largest organisations. */
  PINNED_LARGE(PinnedLarge::new);

  private final Supplier<ConnectionKeeping> factory;

  KeepingPolicy(Supplier<ConnectionKeeping> factory) {
    this.factory = factory;
  }

  /** Returns a new chooser. */
  public ConnectionKeeping create() {
    return factory.get();
  }
}
