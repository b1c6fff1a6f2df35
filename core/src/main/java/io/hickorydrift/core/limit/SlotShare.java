package io.hickorydrift.core.limit;

/**
 * An instance's share of the fleet's limits: a fraction under a long lease, which outlasts an
 * outage of the store, and a fraction under a short lease, which becomes free soon after a crash.
 *
 * <p>Thread safety: immutable.
 *
 * @param longLease fraction under the long lease
 * @param shortLease fraction under the short lease
 */
public record SlotShare(LeasedFraction longLease, LeasedFraction shortLease) {
  /** The share of an instance without a slot. */
  public static final SlotShare NONE = new SlotShare(LeasedFraction.NONE, LeasedFraction.NONE);

  /** Returns the fraction of each limit usable at {@code nowNanos}. */
  public double usableFraction(long nowNanos) {
    return longLease.usableFraction(nowNanos) + shortLease.usableFraction(nowNanos);
  }
}
