package io.hickorydrift.core.limit;

/**
 * Until when one part of a slot's share may be used, by the holder's own monotonic clock.
 *
 * <p>Thread safety: immutable.
 *
 * @param fraction fraction of the fleet's limits that the part stands for
 * @param validUntilNanos local time from which the part may no longer be used
 */
public record LeasedFraction(double fraction, long validUntilNanos) {
  /** A part that holds nothing. */
  public static final LeasedFraction NONE = new LeasedFraction(0, 0);

  /** Returns the fraction usable at {@code nowNanos}. */
  public double usableFraction(long nowNanos) {
    return fraction > 0 && validUntilNanos - nowNanos > 0 ? fraction : 0;
  }
}
