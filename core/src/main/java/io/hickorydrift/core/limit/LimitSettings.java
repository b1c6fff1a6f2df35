package io.hickorydrift.core.limit;

/**
 * Settings for spreading a rate limit over instances.
 *
 * <p>Invariant: {@code reserveFraction} of the burst is never in buckets, so that buckets and
 * outstanding grants together stay within the burst.
 *
 * <p>Thread safety: immutable.
 *
 * @param reserveFraction fraction of the burst set aside for outstanding grants
 * @param grantValidityNanos validity of a grant, measured from when it was requested
 * @param driftMarginNanos how much longer the granting instance counts a grant as outstanding, for
 *     clock drift
 * @param demandHorizonNanos period of expected demand for which tokens are requested in advance
 * @param maxWaitNanos maximum time that a request is queued for tokens
 * @param requestIntervalNanos minimum time between two rounds of token requests for one
 *     organisation
 * @param fanOut maximum number of peers that one round of token requests goes to
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
