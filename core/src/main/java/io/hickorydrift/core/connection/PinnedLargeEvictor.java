package io.hickorydrift.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps one idle connection of each of the largest organisations and evicts the longest idle of the
 * others. Load pattern: as for {@link LeastExpectedCostEvictor}, where the set of large
 * organisations does not change.
 *
 * <p>Thread safety: confined to one thread.
 */
final class PinnedLargeEvictor implements ConnectionEvictor {
  // Number of large organisations at the known sites; the others share the remaining connections.
  private static final int PINNED_ORGANISATIONS = 4;

  private final UseRates rates = new UseRates();

  @Override
  public void recordUse(String organisation, long nowNanos) {
    rates.recordUse(organisation, nowNanos);
  }

  @Override
  public int selectVictim(List<String> idle, long nowNanos) {
    List<String> largest = new ArrayList<>(new HashSet<>(idle));
    largest.sort(Comparator.comparingDouble(each -> -rates.of(each, nowNanos)));
    Set<String> pinned =
        new HashSet<>(
            largest.subList(0, Math.min(PINNED_ORGANISATIONS, Math.max(0, largest.size() - 1))));
    // Of a pinned organisation, the most recently used connection is kept.
    for (int i = 0; i < idle.size(); i++) {
      String organisation = idle.get(i);
      if (!pinned.contains(organisation) || idle.lastIndexOf(organisation) > i) {
        return i;
      }
    }
    return 0;
  }
}
