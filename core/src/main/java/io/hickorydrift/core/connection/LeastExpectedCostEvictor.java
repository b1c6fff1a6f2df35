package io.hickorydrift.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Evicts the connection whose loss has the least expected cost: that of the organisation with the
 * lowest request rate per idle connection. Opening a connection costs the same for all. Load
 * pattern: a few large organisations beside many small ones, in total more than there are
 * connections; a request of a small organisation must not evict the connection of a large one.
 *
 * <p>Thread safety: confined to one thread.
 */
final class LeastExpectedCostEvictor implements ConnectionEvictor {
  private final UseRates rates = new UseRates();

  @Override
  public void recordUse(String organisation, long nowNanos) {
    rates.recordUse(organisation, nowNanos);
  }

  @Override
  public int selectVictim(List<String> idle, long nowNanos) {
    Map<String, Integer> counts = new HashMap<>();
    idle.forEach(organisation -> counts.merge(organisation, 1, Integer::sum));
    int victim = 0;
    double leastCost = Double.MAX_VALUE;
    for (int i = 0; i < idle.size(); i++) {
      String organisation = idle.get(i);
      double cost = rates.of(organisation, nowNanos) / counts.get(organisation);
      if (cost < leastCost) {
        leastCost = cost;
        victim = i;
      }
    }
    return victim;
  }
}
