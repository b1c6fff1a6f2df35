package io.hickorydrift.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Work that waits, the more urgent first; among equals each organisation gets the same slot time,
 * however much it asks for. Load pattern: one organisation sends many times its usual and fills the
 * line; the others' requests must not wait behind all of it.
 *
 * <p>Invariant: an entry leaves exactly once. An organisation that was quiet starts at the present,
 * so that it saves nothing up. Thread safety: confined to one thread.
 *
 * @param <T> what waits
 */
public final class PriorityFairQueue<T> {
  private record Entry<T>(
      int priority, double finish, long number, String organisation, double start, T item) {}

  private final PriorityQueue<Entry<T>> entries =
      new PriorityQueue<>(
          Comparator.comparingInt((Entry<T> entry) -> entry.priority())
              .thenComparingDouble(Entry::finish)
              .thenComparingLong(Entry::number));
  private final Map<String, Double> lastFinish = new HashMap<>();
  private double present;
  private long arrivals;

  /** Adds work of {@code priority}, 0 being the most urgent, that takes {@code cost} slot time. */
  public void add(String organisation, int priority, double cost, T item) {
    double start = Math.max(present, lastFinish.getOrDefault(organisation, 0.0));
    double finish = start + cost;
    lastFinish.put(organisation, finish);
    entries.add(new Entry<>(priority, finish, arrivals++, organisation, start, item));
  }

  /** Removes and returns the first that {@code fits}, or null. */
  public T poll(Predicate<T> fits) {
    List<Entry<T>> passed = new ArrayList<>();
    T found = null;
    while (found == null && !entries.isEmpty()) {
      Entry<T> entry = entries.poll();
      if (fits.test(entry.item)) {
        found = entry.item;
        present = Math.max(present, entry.start);
      } else {
        passed.add(entry);
      }
    }
    entries.addAll(passed);
    if (entries.isEmpty()) {
      lastFinish.clear();
      present = 0;
    }
    return found;
  }

  /** Removes and returns all that {@code over} tells of. */
  public List<T> removeIf(Predicate<T> over) {
    List<T> removed = new ArrayList<>();
    entries.removeIf(entry -> over.test(entry.item) && removed.add(entry.item));
    return removed;
  }

  /** Returns how many entries wait. */
  public int size() {
    return entries.size();
  }
}
