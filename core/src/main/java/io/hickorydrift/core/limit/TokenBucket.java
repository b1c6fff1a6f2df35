package io.hickorydrift.core.limit;

/**
 * A token bucket that starts empty.
 *
 * <p>Invariant: the level is between 0 and the capacity. Thread safety: confined to one thread.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long lastRefillNanos;

  /** Creates a bucket that is empty at {@code nowNanos}. */
  public TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    lastRefillNanos = nowNanos;
  }

  /** Refills the bucket and returns its level at {@code nowNanos}. */
  public double level(long nowNanos) {
    long elapsedNanos = nowNanos - lastRefillNanos;
    if (elapsedNanos > 0) {
      tokens = Math.min(capacity, tokens + ratePerSecond * elapsedNanos / NANOS_PER_SECOND);
      lastRefillNanos = nowNanos;
    }
    return tokens;
  }

  /** Takes up to {@code wanted} tokens and returns the number taken. */
  public double take(double wanted, long nowNanos) {
    double taken = Math.min(wanted, level(nowNanos));
    tokens -= taken;
    return taken;
  }

  /** Changes rate and capacity; tokens above the new capacity are discarded. */
  public void resize(double newRatePerSecond, double newCapacity, long nowNanos) {
    level(nowNanos);
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    tokens = Math.min(tokens, newCapacity);
  }

  /** Empties the bucket. */
  public void drain(long nowNanos) {
    level(nowNanos);
    tokens = 0;
  }
}
