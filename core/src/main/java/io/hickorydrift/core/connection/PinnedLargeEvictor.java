package io.hickorydrift.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps one idle connection of each of the largest organisations and closes the longest idle of the
 * others. Load pattern: as for expected cost, where large organisations stay the same.
 *
 * <p>Thread safety: confined to one thread.
 */
final class PinnedLargeEvictor implements ConnectionEvictor {
  // The large ones of the known sites; the rest share what is left.
  private static final int PINNED = 4;

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
        new HashSet<>(largest.subList(0, Math.min(PINNED, Math.max(0, largest.size() - 1))));
    // The newest connection of a pinned organisation is the one that is kept.
    for (int i = 0; i < idle.size(); i++) {
      String organisation = idle.get(i);
      if (!pinned.contains(organisation) || idle.lastIndexOf(organisation) > i) {
        return i;
      }
    }
    return 0;
  }
}
