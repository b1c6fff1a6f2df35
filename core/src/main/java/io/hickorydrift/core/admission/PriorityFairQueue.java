package io.hickorydrift.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Queue ordered by priority and, within a priority, by fair queueing with virtual time: each
 * organisation gets the same slot time, however much it requests. Load pattern: one organisation
 * sends many times its usual load and fills the queue; requests of the others must not wait behind
 * all of it.
 *
 * <p>Invariant: an entry leaves exactly once. An organisation without recent work starts at the
 * current virtual time, so that idle time earns no credit. Thread safety: confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class PriorityFairQueue<T> {
  private record Entry<T>(
      int priority,
      double finishTag,
      long sequence,
      String organisation,
      double startTag,
      T item) {}

  private final PriorityQueue<Entry<T>> entries =
      new PriorityQueue<>(
          Comparator.comparingInt((Entry<T> entry) -> entry.priority())
              .thenComparingDouble(Entry::finishTag)
              .thenComparingLong(Entry::sequence));
  private final Map<String, Double> lastFinishTags = new HashMap<>();
  private double virtualTime;
  private long nextSequence;

  /**
   * Adds an item of {@code priority}, 0 being the most urgent, that costs {@code cost} slot time.
   */
  public void add(String organisation, int priority, double cost, T item) {
    double startTag = Math.max(virtualTime, lastFinishTags.getOrDefault(organisation, 0.0));
    double finishTag = startTag + cost;
    lastFinishTags.put(organisation, finishTag);
    entries.add(new Entry<>(priority, finishTag, nextSequence++, organisation, startTag, item));
  }

  /** Removes and returns the first item that matches {@code eligible}, or null. */
  public T poll(Predicate<T> eligible) {
    List<Entry<T>> skipped = new ArrayList<>();
    T found = null;
    while (found == null && !entries.isEmpty()) {
      Entry<T> entry = entries.poll();
      if (eligible.test(entry.item)) {
        found = entry.item;
        virtualTime = Math.max(virtualTime, entry.startTag);
      } else {
        skipped.add(entry);
      }
    }
    entries.addAll(skipped);
    if (entries.isEmpty()) {
      lastFinishTags.clear();
      virtualTime = 0;
    }
    return found;
  }

  /** Removes and returns all items that match {@code filter}. */
  public List<T> removeIf(Predicate<T> filter) {
    List<T> removed = new ArrayList<>();
    entries.removeIf(entry -> filter.test(entry.item) && removed.add(entry.item));
    return removed;
  }

  /** Returns the number of queued items. */
  public int size() {
    return entries.size();
  }
}
