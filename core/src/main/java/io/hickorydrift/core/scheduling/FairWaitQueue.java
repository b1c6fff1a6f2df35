package io.hickorydrift.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queue ordered by aged priority and, within a priority, by start-time fair queueing over
 * organisations. Load pattern: one organisation sends several times its usual load, or long
 * listings fill the queue; the former delays only itself, and the latter neither delay urgent work
 * nor starve behind it.
 *
 * <p>Invariant: an entry leaves exactly once. Only work that was served counts against an
 * organisation, and idle time earns no credit. Thread safety: confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class FairWaitQueue<T> implements WaitQueue<T> {
  /** The work of one organisation at one priority: a flood of listings does not delay its bids. */
  private record Flow(String organisation, int priority) {
    private static Flow of(WaitingRequest request) {
      return new Flow(request.organisation(), request.priority());
    }
  }

  private record Entry<T>(WaitingRequest request, double virtualArrival, T item) {}

  /** An entry with the virtual time at which its service would start. */
  private record Tagged<T>(Entry<T> entry, double startTag) {}

  private final List<Entry<T>> entries = new ArrayList<>();
  private final Map<Flow, Double> finishTags = new HashMap<>();
  private double virtualTime;

  @Override
  public void add(WaitingRequest request, T item) {
    entries.add(new Entry<>(request, virtualTime, item));
  }

  /** Returns the entries in order of arrival, each starting after those of its flow before it. */
  private List<Tagged<T>> tagged() {
    Map<Flow, Double> finish = new HashMap<>(finishTags);
    List<Tagged<T>> tagged = new ArrayList<>(entries.size());
    for (Entry<T> entry : entries) {
      Flow flow = Flow.of(entry.request);
      double startTag = Math.max(entry.virtualArrival, finish.getOrDefault(flow, 0.0));
      finish.put(flow, startTag + cost(entry));
      tagged.add(new Tagged<>(entry, startTag));
    }
    return tagged;
  }

  private static double cost(Entry<?> entry) {
    return Math.max(1, entry.request.serviceNanos());
  }

  @Override
  public T poll(Predicate<T> eligible, long nowNanos) {
    Comparator<Tagged<T>> order = orderAt(nowNanos);
    Tagged<T> first = null;
    for (Tagged<T> each : tagged()) {
      if (eligible.test(each.entry.item) && (first == null || order.compare(each, first) < 0)) {
        first = each;
      }
    }
    if (first == null) {
      return null;
    }
    entries.remove(first.entry);
    virtualTime = Math.max(virtualTime, first.startTag);
    finishTags.put(Flow.of(first.entry.request), first.startTag + cost(first.entry));
    if (entries.isEmpty()) {
      finishTags.values().removeIf(tag -> tag <= virtualTime);
    }
    return first.entry.item;
  }

  @Override
  public List<T> removeExpired(long nowNanos) {
    List<T> expired = new ArrayList<>();
    entries.removeIf(
        entry -> entry.request.deadlineNanos() - nowNanos < 0 && expired.add(entry.item));
    return expired;
  }

  @Override
  public List<T> items(long nowNanos) {
    List<Tagged<T>> ordered = tagged();
    ordered.sort(orderAt(nowNanos));
    List<T> items = new ArrayList<>(ordered.size());
    ordered.forEach(each -> items.add(each.entry.item));
    return items;
  }

  private static <T> Comparator<Tagged<T>> orderAt(long nowNanos) {
    return Comparator.comparingLong((Tagged<T> each) -> each.entry.request.agedPriority(nowNanos))
        .thenComparingDouble(Tagged::startTag);
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
    Entry<T> added = new Entry<>(request, virtualTime, null);
    entries.add(added);
    List<Tagged<T>> tagged = tagged();
    entries.remove(entries.size() - 1);
    Tagged<T> last = tagged.get(tagged.size() - 1);
    Comparator<Tagged<T>> order = orderAt(nowNanos);
    int count = 0;
    for (Tagged<T> each : tagged) {
      count += each != last && order.compare(each, last) <= 0 ? 1 : 0;
    }
    return count;
  }

  @Override
  public boolean isEmpty() {
    return entries.isEmpty();
  }
}
