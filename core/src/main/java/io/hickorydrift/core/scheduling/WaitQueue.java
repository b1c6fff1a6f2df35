package io.hickorydrift.core.scheduling;

import java.util.List;
import java.util.function.Predicate;

/**
 * Requests that wait for connections to one target, in the order in which they are served.
 * Implementations are confined to one thread.
 *
 * @param <T> type of the queued items
 */
public interface WaitQueue<T> {
  /** Adds an item that waits as described by {@code request}. */
  void add(WaitingRequest request, T item);

  /** Removes and returns the first item that matches {@code eligible}, or null. */
  T poll(Predicate<T> eligible, long nowNanos);

  /** Removes and returns all items whose deadline is past. */
  List<T> removeExpired(long nowNanos);

  /** Returns all queued items, in order. */
  List<T> items(long nowNanos);

  /** Returns the number of queued items that match {@code filter}. */
  int count(Predicate<T> filter);

  /** Returns how many of the queued items would be served before {@code request}. */
  int countBefore(WaitingRequest request, long nowNanos);

  /** Returns whether the queue is empty. */
  boolean isEmpty();
}
