package io.hickorydrift.core.limit;

/**
 * Rate and burst of an organisation across the whole fleet.
 *
 * <p>Thread safety: immutable.
 *
 * @param ratePerSecond sustained rate in requests a second
 * @param burst requests admitted at once after an idle period
 */
public record RateLimit(double ratePerSecond, double burst) {}
