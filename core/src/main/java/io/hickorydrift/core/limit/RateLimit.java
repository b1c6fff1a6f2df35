package io.hickorydrift.core.limit;

/**
 * Rate and burst of an organisation across the whole fleet.
 *
 * <p>Invariant: {@link #bucketCapacity} plus the tokens that the rate adds within {@link
 * #tokenValidityNanos} is at most the burst. So a token that is granted at one moment and used at
 * the end of its validity does not admit more than the rate times the window plus the burst in any
 * window. Thread safety: immutable.
 *
 * @param ratePerSecond sustained rate in requests a second
 * @param burst requests admitted at once after an idle period
 */
public record RateLimit(double ratePerSecond, double burst) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns the capacity of the buckets of all holders together. */
  double bucketCapacity(GrantTiming timing) {
    double addedWhileValid = ratePerSecond * timing.maxTokenValidityNanos() / NANOS_PER_SECOND;
    return Math.max(burst - addedWhileValid, Math.min(1, burst));
  }

  /**
   * Returns the validity of a granted token, measured from when it was requested. Shorter than
   * usual for a burst that is small beside the rate, where the bucket still has to hold one token.
   */
  long tokenValidityNanos(GrantTiming timing) {
    if (ratePerSecond <= 0) {
      return timing.maxTokenValidityNanos();
    }
    double spareNanos = (burst - bucketCapacity(timing)) / ratePerSecond * NANOS_PER_SECOND;
    return (long) Math.min(timing.maxTokenValidityNanos(), spareNanos);
  }
}
