package io.hickorydrift.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * Rates at which organisations request connections, as exponentially decaying counts.
 *
 * <p>Thread safety: confined to one thread.
 */
final class UseRates {
  // Spans a few requests of a small organisation, but follows a shift in load.
  private static final double TIME_CONSTANT_NANOS = 8e9;

  private static final class Rate {
    private double weight;
    private long updatedNanos;
  }

  private final Map<String, Rate> rates = new HashMap<>();

  void recordUse(String organisation, long nowNanos) {
    Rate rate = rates.computeIfAbsent(organisation, name -> new Rate());
    rate.weight = decayed(rate, nowNanos) + 1;
    rate.updatedNanos = nowNanos;
  }

  /** Returns a value that increases with the request rate of {@code organisation}. */
  double of(String organisation, long nowNanos) {
    Rate rate = rates.get(organisation);
    return rate == null ? 0 : decayed(rate, nowNanos);
  }

  private static double decayed(Rate rate, long nowNanos) {
    return rate.weight * Math.exp(-(nowNanos - rate.updatedNanos) / TIME_CONSTANT_NANOS);
  }
}
