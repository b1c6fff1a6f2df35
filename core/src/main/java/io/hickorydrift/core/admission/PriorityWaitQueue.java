package io.hickorydrift.core.admission;

import io.hickorydrift.core.scheduling.WaitQueue;
import io.hickorydrift.core.scheduling.WaitingRequest;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for the same resource, ordered by priority and then by arrival. Load
 * pattern: a primary has to serve all reads while its replicas lag, and short urgent writes would
 * wait behind long listings.
 *
 * <p>Invariant: an entry leaves exactly once. Thread safety: confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class PriorityWaitQueue<T> implements WaitQueue<T> {
  private record Entry<T>(int priority, long deadlineNanos, T item) {}

  private final LinkedList<Entry<T>> entries = new LinkedList<>();

  @Override
  public void add(WaitingRequest request, T item) {
    add(request.priority(), request.deadlineNanos(), item);
  }

  /** Adds an item of {@code priority}, 0 being the most urgent, that may wait until a deadline. */
  public void add(int priority, long deadlineNanos, T item) {
    int index = entries.size();
    for (Iterator<Entry<T>> each = entries.descendingIterator(); each.hasNext(); ) {
      if (each.next().priority <= priority) {
        break;
      }
      index--;
    }
    entries.add(index, new Entry<>(priority, deadlineNanos, item));
  }

  @Override
  public T poll(Predicate<T> eligible, long nowNanos) {
    return poll(eligible);
  }

  /** Removes and returns the first item that matches {@code eligible}, or null. */
  public T poll(Predicate<T> eligible) {
    for (Iterator<Entry<T>> each = entries.iterator(); each.hasNext(); ) {
      T item = each.next().item;
      if (eligible.test(item)) {
        each.remove();
        return item;
      }
    }
    return null;
  }

  @Override
  public List<T> removeExpired(long nowNanos) {
    List<T> expired = new ArrayList<>();
    for (Iterator<Entry<T>> each = entries.iterator(); each.hasNext(); ) {
      Entry<T> entry = each.next();
      if (entry.deadlineNanos - nowNanos < 0) {
        each.remove();
        expired.add(entry.item);
      }
    }
    return expired;
  }

  @Override
  public List<T> items(long nowNanos) {
    return items();
  }

  /** Returns all queued items, in order. */
  public List<T> items() {
    List<T> items = new ArrayList<>(entries.size());
    entries.forEach(entry -> items.add(entry.item));
    return items;
  }

  @Override
  public int count(Predicate<T> filter) {
    int count = 0;
    for (Entry<T> entry : entries) {
      count += filter.test(entry.item) ? 1 : 0;
    }
    return count;
  }

  @Override
  public int countBefore(WaitingRequest request, long nowNanos) {
    int count = 0;
    for (Entry<T> entry : entries) {
      count += entry.priority <= request.priority() ? 1 : 0;
    }
    return count;
  }

  @Override
  public boolean isEmpty() {
    return entries.isEmpty();
  }
}
