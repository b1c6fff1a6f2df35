package io.hickorydrift.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the statements that an entry instance has outstanding at one home, and keeps the order of
 * those that wait for a place. Load pattern: a home is slow or short of processor time, and each of
 * dozens of entry instances sends it everything that arrives; statements then expire at the home
 * behind others, and urgent ones cannot overtake.
 *
 * <p>Invariant: at most {@link #MAX_OUTSTANDING} places are taken; none is given to a request while
 * one of a higher priority, or an earlier one of its priority, waits. Thread safety: confined to
 * one thread.
 */
public final class LinkWindow<T> {
  /**
   * Maximum number of statements outstanding on a link. A home works on at most twice its slots and
   * queues what it can serve within an objective; this covers its groups.
   */
  public static final int MAX_OUTSTANDING = 64;

  /** Longest wait for a place: the objective of urgent work leaves no more. */
  public static final long MAX_WAIT_MS = 100;

  /** Rank of statements of open transactions, which hold a connection that others wait for. */
  public static final int OPEN_TRANSACTION = -1;

  // Before the spread. A thousand callers of one instance return within it; with half of it, more
  // than a fifth of them would return in the same 100 ms.
  private static final long MAX_RETRY_MS = 2_000;
  // Callers that are refused together return spread over half of the delay.
  private static final double MIN_SPREAD = 0.75;
  private static final double SPREAD = 0.5;

  private record Waiter<T>(int priority, T item) {}

  private final List<Waiter<T>> waiters = new ArrayList<>();
  private int outstanding;
  private int refusedInRow;

  /** Takes a place and returns true, unless none is free or others wait for one. */
  public boolean tryTake() {
    if (outstanding >= MAX_OUTSTANDING || !waiters.isEmpty()) {
      return false;
    }
    outstanding++;
    refusedInRow = 0;
    return true;
  }

  /** Adds a request that waits for a place. */
  public void add(int priority, T item) {
    int at = waiters.size();
    while (at > 0 && waiters.get(at - 1).priority > priority) {
      at--;
    }
    waiters.add(at, new Waiter<>(priority, item));
  }

  /** Gives a place back. */
  public void giveBack() {
    if (outstanding == 0) {
      throw new IllegalStateException("no place is taken");
    }
    outstanding--;
  }

  /** Takes a place for the next request that waits and returns it, or returns null. */
  public T pollNext() {
    if (outstanding >= MAX_OUTSTANDING || waiters.isEmpty()) {
      return null;
    }
    outstanding++;
    refusedInRow = 0;
    return waiters.remove(0).item;
  }

  /** Removes a request that waits; returns false if it does not. */
  public boolean remove(T item) {
    return waiters.removeIf(waiter -> waiter.item == item);
  }

  /** Removes and returns all requests that wait, in their order. */
  public List<T> removeAll() {
    List<T> removed = waiters.stream().map(Waiter::item).toList();
    waiters.clear();
    return removed;
  }

  /**
   * Returns the delay after which a caller whose request waited in vain should try again, and
   * counts the refusal. The k-th refusal since a place was last free is told to wait for the time
   * that a full window takes to turn over once more: a caller that returns earlier finds the
   * others.
   *
   * @param unitHash hash of the statement in [0, 1), which spreads the retries of many callers
   */
  public long refuse(double unitHash) {
    long rounds = 1 + refusedInRow / MAX_OUTSTANDING;
    refusedInRow++;
    long baseMs = Math.min(MAX_RETRY_MS, MAX_WAIT_MS * rounds);
    return Math.round(baseMs * (MIN_SPREAD + SPREAD * unitHash));
  }

  /** Returns the number of places taken. */
  public int outstanding() {
    return outstanding;
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waiters.size();
  }
}
