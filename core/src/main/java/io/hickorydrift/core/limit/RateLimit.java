package io.hickorydrift.core.limit;

/**
 * Rate and burst of an organisation across the whole fleet.
 *
 * <p>Thread safety: immutable.
 *
 * @param ratePerSecond requests a second
 * @param burst requests that may come at once after a quiet time
 */
public record RateLimit(double ratePerSecond, double burst) {}
