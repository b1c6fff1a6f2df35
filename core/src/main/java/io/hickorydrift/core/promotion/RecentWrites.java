package io.hickorydrift.core.promotion;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the writes of a group in the last 60 s by the region that they came from. Load pattern:
 * the writers of a group move between regions with the time of day, so that older writes say little
 * about where a new primary is best.
 *
 * <p>Invariant: at most 13 slices are kept. Thread safety: confined to one thread.
 */
public final class RecentWrites {
  // 5 s: a window of 60 s ends at most a twelfth late.
  private static final long SLICE_NANOS = 5_000_000_000L;
  private static final int SLICES = 12;

  private record Slice(long number, Map<String, Long> writesByRegion) {}

  private final ArrayDeque<Slice> slices = new ArrayDeque<>();

  /** Records {@code count} writes from {@code region}; time must not go back. */
  public void record(String region, long count, long nowNanos) {
    removeOld(nowNanos);
    long number = Math.floorDiv(nowNanos, SLICE_NANOS);
    if (slices.isEmpty() || slices.peekLast().number() < number) {
      slices.addLast(new Slice(number, new HashMap<>()));
    }
    slices.peekLast().writesByRegion().merge(region, count, Long::sum);
  }

  /** Returns the number of writes by region. */
  public Map<String, Long> byRegion(long nowNanos) {
    removeOld(nowNanos);
    Map<String, Long> sums = new HashMap<>();
    for (Slice slice : slices) {
      slice.writesByRegion().forEach((region, count) -> sums.merge(region, count, Long::sum));
    }
    return sums;
  }

  /** A slice counts until its last write is 60 s old. */
  private void removeOld(long nowNanos) {
    long oldest = Math.floorDiv(nowNanos, SLICE_NANOS) - SLICES;
    while (!slices.isEmpty() && slices.peekFirst().number() < oldest) {
      slices.removeFirst();
    }
  }
}
