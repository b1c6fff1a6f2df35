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
 * <p>Invariants: an organisation never has more than the maximum number of items in flight; service
 * is shared by weight between organisations with queued items; the items of one organisation are
 * served in order of arrival.
 *
 * <p>Thread safety: confined to one thread.
 *
 * @param <T> type of the queued items
 */
public final class DeficitRoundRobinQueue<T> {
  private static final double ITEM_COST = 1.0;

  private static final class OrganisationQueue<T> {
    private final ArrayDeque<T> items = new ArrayDeque<>();
    private double weight;
    private double deficit;
    private int inFlight;
  }

  private final Map<String, OrganisationQueue<T>> queues = new HashMap<>();
  private final ArrayDeque<String> activeOrganisations = new ArrayDeque<>();
  private int maxInFlightPerOrganisation;
  private int size;

  /**
   * Creates a queue that allows each organisation at most {@code maxInFlightPerOrganisation} items
   * in flight.
   */
  public DeficitRoundRobinQueue(int maxInFlightPerOrganisation) {
    this.maxInFlightPerOrganisation = maxInFlightPerOrganisation;
  }

  /** Sets the maximum number of items that an organisation may have in flight. */
  public void setMaxInFlightPerOrganisation(int max) {
    maxInFlightPerOrganisation = max;
  }

  /** Queues {@code item} for {@code organisation}, whose weight is above 0 and at most 1. */
  public void offer(String organisation, double weight, T item) {
    OrganisationQueue<T> queue =
        queues.computeIfAbsent(organisation, name -> new OrganisationQueue<>());
    queue.weight = weight;
    if (queue.items.isEmpty()) {
      queue.deficit = 0;
      activeOrganisations.addLast(organisation);
    }
    queue.items.addLast(item);
    size++;
  }

  /** Removes and returns the next item to serve, or null if no organisation is eligible. */
  public T poll() {
    if (!anyEligible()) {
      return null;
    }
    while (true) {
      String organisation = activeOrganisations.peekFirst();
      OrganisationQueue<T> queue = queues.get(organisation);
      if (isEligible(queue)) {
        queue.deficit += queue.deficit < ITEM_COST ? queue.weight : 0;
        if (queue.deficit >= ITEM_COST) {
          return serve(organisation, queue);
        }
      }
      activeOrganisations.addLast(activeOrganisations.removeFirst());
    }
  }

  private boolean anyEligible() {
    for (String organisation : activeOrganisations) {
      if (isEligible(queues.get(organisation))) {
        return true;
      }
    }
    return false;
  }

  private boolean isEligible(OrganisationQueue<T> queue) {
    return queue.inFlight < maxInFlightPerOrganisation;
  }

  private T serve(String organisation, OrganisationQueue<T> queue) {
    final T item = queue.items.removeFirst();
    queue.deficit -= ITEM_COST;
    queue.inFlight++;
    size--;
    if (queue.items.isEmpty()) {
      activeOrganisations.removeFirst();
    } else if (queue.deficit < ITEM_COST) {
      activeOrganisations.addLast(activeOrganisations.removeFirst());
    }
    return item;
  }

  /**
   * Records that an item of {@code organisation} returned by {@link #poll} is no longer in flight.
   */
  public void release(String organisation) {
    OrganisationQueue<T> queue = queues.get(organisation);
    queue.inFlight--;
    if (queue.inFlight == 0 && queue.items.isEmpty()) {
      queues.remove(organisation);
    }
  }

  /** Removes and returns the queued items that match {@code expired}. */
  public List<T> removeIf(Predicate<T> expired) {
    List<T> removed = new ArrayList<>();
    for (Iterator<Map.Entry<String, OrganisationQueue<T>>> iterator = queues.entrySet().iterator();
        iterator.hasNext(); ) {
      Map.Entry<String, OrganisationQueue<T>> entry = iterator.next();
      OrganisationQueue<T> queue = entry.getValue();
      int before = queue.items.size();
      queue.items.removeIf(item -> expired.test(item) && removed.add(item));
      if (before > 0 && queue.items.isEmpty()) {
        activeOrganisations.remove(entry.getKey());
        if (queue.inFlight == 0) {
          iterator.remove();
        }
      }
    }
    size -= removed.size();
    return removed;
  }

  /** Returns the number of queued items. */
  public int size() {
    return size;
  }

  /**
   * Returns the number of queued items that are served before a new item of {@code organisation},
   * at equal weights and if no item is removed.
   */
  public int queuedAheadOf(String organisation) {
    OrganisationQueue<T> queue = queues.get(organisation);
    int ownQueued = queue == null ? 0 : queue.items.size();
    int ahead = ownQueued;
    for (Map.Entry<String, OrganisationQueue<T>> other : queues.entrySet()) {
      if (!other.getKey().equals(organisation)) {
        ahead += Math.min(other.getValue().items.size(), ownQueued + 1);
      }
    }
    return ahead;
  }
}
