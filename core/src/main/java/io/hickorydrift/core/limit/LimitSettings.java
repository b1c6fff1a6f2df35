package io.hickorydrift.core.limit;

/**
 * Times and fractions that spreading a limit over instances goes by.
 *
 * <p>Invariant: {@code reserveFraction} of the burst is never in buckets, so that buckets and
 * grants under way together stay within the burst.
 *
 * <p>Thread safety: immutable.
 *
 * @param reserveFraction part of the burst set aside for grants under way
 * @param grantValidityNanos how long a grant may be used, from when it was asked for
 * @param driftMarginNanos how much longer the giver counts it
 * @param demandHorizonNanos how far ahead tokens are asked for
 * @param maxWaitNanos how long a request may wait for tokens
 * @param requestIntervalNanos least time between two rounds of asking for one organisation
 * @param fanOut most peers asked in one round
 */
public record LimitSettings(
    double reserveFraction,
    long grantValidityNanos,
    long driftMarginNanos,
    long demandHorizonNanos,
    long maxWaitNanos,
    long requestIntervalNanos,
    int fanOut) {
  private static final long MS = 1_000_000L;

  /** Values for instances a few milliseconds apart. */
  public static final LimitSettings STANDARD =
      new LimitSettings(0.25, 500 * MS, 50 * MS, 100 * MS, 60 * MS, 10 * MS, 6);
}
