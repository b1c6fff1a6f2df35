package io.hickorydrift.core.limit;

/**
 * A token bucket that starts empty.
 *
 * <p>Invariant: holds between 0 and its capacity. Thread safety: confined to one thread.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double capacity;
  private double tokens;
  private long filledNanos;

  /** Starts empty at {@code nowNanos}. */
  public TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.capacity = capacity;
    filledNanos = nowNanos;
  }

  /** Returns the tokens held at {@code nowNanos}. */
  public double level(long nowNanos) {
    long passedNanos = nowNanos - filledNanos;
    if (passedNanos > 0) {
      tokens = Math.min(capacity, tokens + ratePerSecond * passedNanos / NANOS_PER_SECOND);
      filledNanos = nowNanos;
    }
    return tokens;
  }

  /** Takes up to {@code wanted} tokens and returns how many. */
  public double take(double wanted, long nowNanos) {
    double taken = Math.min(wanted, level(nowNanos));
    tokens -= taken;
    return taken;
  }

  /** Changes rate and capacity; what is held above the new capacity is lost. */
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
