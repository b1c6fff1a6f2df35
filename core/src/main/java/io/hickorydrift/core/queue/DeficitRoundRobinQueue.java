package io.hickorydrift.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Deficit round robin over organisations, in front of a fixed number of connections.
 *
 * <p>Invariants: an organisation never has more than its bound under way; between organisations
 * that wait, service is shared by weight; within one, order is first come first served.
 *
 * <p>Thread safety: confined to one thread.
 *
 * @param <T> what is queued
 */
public final class DeficitRoundRobinQueue<T> {
  private static final double COST = 1.0;

  private static final class Lane<T> {
    private final ArrayDeque<T> items = new ArrayDeque<>();
    private double weight;
    private double deficit;
    private int inFlight;
  }

  private final Map<String, Lane<T>> lanes = new HashMap<>();
  private final ArrayDeque<String> round = new ArrayDeque<>();
  private int maxInFlightPerOrganisation;
  private int size;

  /** Lets no organisation have more than {@code maxInFlightPerOrganisation} items under way. */
  public DeficitRoundRobinQueue(int maxInFlightPerOrganisation) {
    this.maxInFlightPerOrganisation = maxInFlightPerOrganisation;
  }

  /** Changes how many items an organisation may have under way. */
  public void setMaxInFlightPerOrganisation(int maxInFlight) {
    maxInFlightPerOrganisation = maxInFlight;
  }

  /** Queues {@code item} for {@code organisation}, whose weight is above 0 and at most 1. */
  public void offer(String organisation, double weight, T item) {
    Lane<T> lane = lanes.computeIfAbsent(organisation, name -> new Lane<>());
    lane.weight = weight;
    if (lane.items.isEmpty()) {
      lane.deficit = 0;
      round.addLast(organisation);
    }
    lane.items.addLast(item);
    size++;
  }

  /** Takes the next item to serve, or null if none may be served now. */
  public T poll() {
    if (!anyEligible()) {
      return null;
    }
    while (true) {
      String organisation = round.peekFirst();
      Lane<T> lane = lanes.get(organisation);
      if (eligible(lane)) {
        lane.deficit += lane.deficit < COST ? lane.weight : 0;
        if (lane.deficit >= COST) {
          return serve(organisation, lane);
        }
      }
      round.addLast(round.removeFirst());
    }
  }

  private boolean anyEligible() {
    for (String organisation : round) {
      if (eligible(lanes.get(organisation))) {
        return true;
      }
    }
    return false;
  }

  private boolean eligible(Lane<T> lane) {
    return lane.inFlight < maxInFlightPerOrganisation;
  }

  private T serve(String organisation, Lane<T> lane) {
    final T item = lane.items.removeFirst();
    lane.deficit -= COST;
    lane.inFlight++;
    size--;
    if (lane.items.isEmpty()) {
      round.removeFirst();
    } else if (lane.deficit < COST) {
      round.addLast(round.removeFirst());
    }
    return item;
  }

  /** Tells that an item of {@code organisation} taken by {@link #poll} is over. */
  public void release(String organisation) {
    Lane<T> lane = lanes.get(organisation);
    lane.inFlight--;
    if (lane.inFlight == 0 && lane.items.isEmpty()) {
      lanes.remove(organisation);
    }
  }

  /** Removes and returns the waiting items that {@code expired} tells of. */
  public List<T> removeIf(Predicate<T> expired) {
    List<T> removed = new ArrayList<>();
    for (Iterator<Map.Entry<String, Lane<T>>> each = lanes.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, Lane<T>> entry = each.next();
      Lane<T> lane = entry.getValue();
      int before = lane.items.size();
      lane.items.removeIf(item -> expired.test(item) && removed.add(item));
      if (before > 0 && lane.items.isEmpty()) {
        round.remove(entry.getKey());
        if (lane.inFlight == 0) {
          each.remove();
        }
      }
    }
    size -= removed.size();
    return removed;
  }

  /** Returns how many items wait. */
  public int size() {
    return size;
  }

  /**
   * Returns how many items are served before a new one of {@code organisation} is, if all who wait
   * keep waiting.
   */
  public int queuedAheadOf(String organisation) {
    Lane<T> lane = lanes.get(organisation);
    int own = lane == null ? 0 : lane.items.size();
    int ahead = own;
    for (Map.Entry<String, Lane<T>> other : lanes.entrySet()) {
      if (!other.getKey().equals(organisation)) {
        ahead += Math.min(other.getValue().items.size(), own + 1);
      }
    }
    return ahead;
  }
}
