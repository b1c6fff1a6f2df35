package io.hickorydrift.core.limit;

/**
 * Leases of slots.
 *
 * <p>Thread safety: immutable.
 *
 * @param shortLeaseNanos how long the short part outlasts the last renewal
 * @param longLeaseNanos how long the long part outlasts the last renewal
 * @param marginNanos how much longer a taker waits, for clock drift and grants under way
 * @param renewNanos between two renewals
 * @param longFraction fraction of a slot's share that is on the long lease
 */
public record SlotTimes(
    long shortLeaseNanos,
    long longLeaseNanos,
    long marginNanos,
    long renewNanos,
    double longFraction) {
  private static final long MS = 1_000_000L;

  /** One hour for the long part, ten seconds for the short part. */
  public static final SlotTimes STANDARD =
      new SlotTimes(10_000 * MS, 3_600_000 * MS, 2_000 * MS, 2_500 * MS, 0.75);
}
