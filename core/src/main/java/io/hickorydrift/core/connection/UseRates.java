package io.hickorydrift.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * How often organisations ask for connections, with older requests counting ever less.
 *
 * <p>Thread safety: confined to one thread.
 */
final class UseRates {
  // Long enough for a few requests of a small organisation, short enough to follow a shift.
  private static final double DECAY_NANOS = 8e9;

  private static final class Rate {
    private double weight;
    private long atNanos;
  }

  private final Map<String, Rate> rates = new HashMap<>();

  void recordUse(String organisation, long nowNanos) {
    Rate rate = rates.computeIfAbsent(organisation, name -> new Rate());
    rate.weight = decayed(rate, nowNanos) + 1;
    rate.atNanos = nowNanos;
  }

  /** Returns a figure that grows with the rate of {@code organisation}. */
  double of(String organisation, long nowNanos) {
    Rate rate = rates.get(organisation);
    return rate == null ? 0 : decayed(rate, nowNanos);
  }

  private static double decayed(Rate rate, long nowNanos) {
    return rate.weight * Math.exp(-(nowNanos - rate.atNanos) / DECAY_NANOS);
  }
}
