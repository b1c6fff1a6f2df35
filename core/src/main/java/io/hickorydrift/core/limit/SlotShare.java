package io.hickorydrift.core.limit;

/**
 * What an instance holds of the fleet's limits: a part on the long lease, which outlasts an outage
 * of the store, and a part on the short lease, which returns soon after a crash.
 *
 * <p>Thread safety: immutable.
 *
 * @param longPart part on the long lease
 * @param shortPart part on the short lease
 */
public record SlotShare(SharePart longPart, SharePart shortPart) {
  /** The share of an instance without a slot. */
  public static final SlotShare NONE = new SlotShare(SharePart.NONE, SharePart.NONE);

  /** Returns the fraction of each limit usable at {@code nowNanos}. */
  public double usable(long nowNanos) {
    return longPart.usable(nowNanos) + shortPart.usable(nowNanos);
  }
}
