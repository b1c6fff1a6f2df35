package io.hickorydrift.core.connection;

import java.util.function.Supplier;

/** Policies for selecting the idle connection to evict. */
public enum EvictionPolicy {
  /** Evicts the connection that has been idle longest. */
  LEAST_RECENTLY_USED(LeastRecentlyUsedEvictor::new),
  /** Evicts the connection that is least likely to be needed soon. */
  LEAST_EXPECTED_COST(LeastExpectedCostEvictor::new),
  /**
   * Evicts the connection that has been idle longest, but keeps one connection of each of the
   * largest organisations.
   */
  PINNED_LARGE(PinnedLargeEvictor::new);

  private final Supplier<ConnectionEvictor> factory;

  EvictionPolicy(Supplier<ConnectionEvictor> factory) {
    this.factory = factory;
  }

  /** Returns a new evictor. */
  public ConnectionEvictor newEvictor() {
    return factory.get();
  }
}
