package io.hickorydrift.core.limit;

/**
 * Durations of the leases of slots.
 *
 * <p>Thread safety: immutable.
 *
 * @param shortLeaseNanos duration of the short lease after the last renewal
 * @param longLeaseNanos duration of the long lease after the last renewal
 * @param takeoverMarginNanos how much longer than the lease an instance waits before it takes a
 *     slot over, for clock drift and outstanding grants
 * @param renewIntervalNanos time between two renewals
 * @param longLeaseFraction fraction of a slot's share that is under the long lease
 */
public record SlotLeaseSettings(
    long shortLeaseNanos,
    long longLeaseNanos,
    long takeoverMarginNanos,
    long renewIntervalNanos,
    double longLeaseFraction) {
  private static final long MS = 1_000_000L;

  /** One hour for the long lease, ten seconds for the short lease. */
  public static final SlotLeaseSettings STANDARD =
      new SlotLeaseSettings(10_000 * MS, 3_600_000 * MS, 2_000 * MS, 2_500 * MS, 0.75);
}
