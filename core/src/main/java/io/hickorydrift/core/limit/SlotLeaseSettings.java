package io.hickorydrift.core.limit;

/**
 * Leases of slots.
 *
 * <p>Thread safety: immutable.
 *
 * @param shortLeaseNanos how long the short part outlasts the last renewal
 * @param longLeaseNanos how long the long part outlasts the last renewal
 * @param takeoverMarginNanos how much longer a taker waits, for clock drift and grants under way
 * @param renewIntervalNanos between two renewals
 * @param longLeaseFraction fraction of a slot's share that is on the long lease
 */
public record SlotLeaseSettings(
    long shortLeaseNanos,
    long longLeaseNanos,
    long takeoverMarginNanos,
    long renewIntervalNanos,
    double longLeaseFraction) {
  private static final long MS = 1_000_000L;

  /** One hour for the long part, ten seconds for the short part. */
  public static final SlotLeaseSettings STANDARD =
      new SlotLeaseSettings(10_000 * MS, 3_600_000 * MS, 2_000 * MS, 2_500 * MS, 0.75);
}
