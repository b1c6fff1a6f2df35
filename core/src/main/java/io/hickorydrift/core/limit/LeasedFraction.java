package io.hickorydrift.core.limit;

/**
 * A fraction of the fleet's limits and the expiry time of its lease, by the holder's own monotonic
 * clock.
 *
 * <p>Thread safety: immutable.
 *
 * @param fraction fraction of the fleet's limits under this lease
 * @param validUntilNanos local time at which the lease expires
 */
public record LeasedFraction(double fraction, long validUntilNanos) {
  /** An empty fraction. */
  public static final LeasedFraction NONE = new LeasedFraction(0, 0);

  /** Returns the fraction usable at {@code nowNanos}. */
  public double usableFraction(long nowNanos) {
    return fraction > 0 && validUntilNanos - nowNanos > 0 ? fraction : 0;
  }
}
