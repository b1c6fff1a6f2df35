package io.hickorydrift.core.limit;

/**
 * What an instance holds of the fleet's limits: a part on the long lease, which outlasts an outage
 * of the store, and a part on the short lease, which returns soon after a crash.
 *
 * <p>Thread safety: immutable.
 *
 * @param longLease part on the long lease
 * @param shortLease part on the short lease
 */
public record SlotShare(LeasedFraction longLease, LeasedFraction shortLease) {
  /** The share of an instance without a slot. */
  public static final SlotShare NONE = new SlotShare(LeasedFraction.NONE, LeasedFraction.NONE);

  /** Returns the fraction of each limit usable at {@code nowNanos}. */
  public double usableFraction(long nowNanos) {
    return longLease.usableFraction(nowNanos) + shortLease.usableFraction(nowNanos);
  }
}
