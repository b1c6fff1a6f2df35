package io.hickorydrift.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Closes the connection whose loss is expected to cost least: that of the organisation with the
 * lowest rate for each idle connection it has. Opening costs the same for all. Load pattern: a few
 * large organisations beside many small ones, more in all than connections; a small one's request
 * must not cost a large one its connection.
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
    int best = 0;
    double least = Double.MAX_VALUE;
    for (int i = 0; i < idle.size(); i++) {
      String organisation = idle.get(i);
      double cost = rates.of(organisation, nowNanos) / counts.get(organisation);
      if (cost < least) {
        least = cost;
        best = i;
      }
    }
    return best;
  }
}
