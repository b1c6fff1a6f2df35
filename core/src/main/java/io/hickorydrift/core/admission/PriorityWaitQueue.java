package io.hickorydrift.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Work that waits for the same thing, the more urgent first and then in order of arrival. Load
 * pattern: a primary has to take all reads while its replicas lag, and short urgent writes would
 * wait behind long listings.
 *
 * <p>Invariant: an entry leaves exactly once. Thread safety: confined to one thread.
 *
 * @param <T> what waits
 */
public final class PriorityWaitQueue<T> {
  private record Entry<T>(int priority, long deadlineNanos, T item) {}

  private final LinkedList<Entry<T>> entries = new LinkedList<>();

  /** Adds work of {@code priority}, 0 being the most urgent, that may wait until a deadline. */
  public void add(int priority, long deadlineNanos, T item) {
    int at = entries.size();
    for (Iterator<Entry<T>> each = entries.descendingIterator(); each.hasNext(); ) {
      if (each.next().priority <= priority) {
        break;
      }
      at--;
    }
    entries.add(at, new Entry<>(priority, deadlineNanos, item));
  }

  /** Removes and returns the first that {@code fits}, or null. */
  public T poll(Predicate<T> fits) {
    for (Iterator<Entry<T>> each = entries.iterator(); each.hasNext(); ) {
      T item = each.next().item;
      if (fits.test(item)) {
        each.remove();
        return item;
      }
    }
    return null;
  }

  /** Removes and returns all whose deadline is past. */
  public List<T> removeExpired(long nowNanos) {
    List<T> late = new ArrayList<>();
    for (Iterator<Entry<T>> each = entries.iterator(); each.hasNext(); ) {
      Entry<T> entry = each.next();
      if (entry.deadlineNanos - nowNanos < 0) {
        each.remove();
        late.add(entry.item);
      }
    }
    return late;
  }

  /** Returns all that wait, in order. */
  public List<T> items() {
    List<T> items = new ArrayList<>(entries.size());
    entries.forEach(entry -> items.add(entry.item));
    return items;
  }

  /** Returns whether nothing waits. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }
}
