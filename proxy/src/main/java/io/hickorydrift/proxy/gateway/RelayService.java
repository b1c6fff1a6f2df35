package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Passes changes in the store on to the instances that follow this one.
 *
 * <p>Invariant: a subscriber receives each change after the revision that it had applied, in order
 * of position, or a snapshot in their place. Thread safety: confined to the loop's thread.
 */
final class RelayService {
  // Covers the changes between the loss of one relay and the subscription to the next.
  private static final int MAX_KEPT_ITEMS = 1_000;

  private static final class Subscriber {
    private StorePosition position;
    private long version;
  }

  private record Change(StorePosition from, List<Item> items) {}

  private final DeclarationExchange declarations;
  private final Declarations current;
  private final Supplier<Collection<Item>> allItems;
  private final Map<InboundPeerLink, Subscriber> subscribers = new HashMap<>();
  private final ArrayDeque<Change> history = new ArrayDeque<>();
  private int keptItems;
  private StorePosition position = StorePosition.NONE;
  private long failureAgeMs;

  /** Creates the service; {@code allItems} returns all items except the declaration. */
  RelayService(
      DeclarationExchange declarations, Declarations current, Supplier<Collection<Item>> allItems) {
    this.declarations = declarations;
    this.current = current;
    this.allItems = allItems;
  }

  /** Subscribes the peer of {@code link} and sends it what it has missed. */
  void subscribe(InboundPeerLink link, PeerMessage.Subscribe request) {
    Subscriber subscriber = new Subscriber();
    subscriber.position = request.position();
    subscriber.version = request.version();
    subscribers.put(link, subscriber);
    if (position.isAfter(StorePosition.NONE)) {
      update(link, subscriber);
    }
  }

  /** Ends the subscription of a closed link. */
  void onLinkClosed(InboundPeerLink link) {
    subscribers.remove(link);
  }

  /**
   * Records changes that this instance has applied and sends them to all subscribers.
   *
   * @param from position before the changes
   * @param newPosition position with the changes, in the same era
   * @param newFailureAgeMs time since the store was last unreachable
   * @param items changed items except the declaration
   */
  void onChanges(
      StorePosition from, StorePosition newPosition, long newFailureAgeMs, List<Item> items) {
    position = newPosition;
    failureAgeMs = newFailureAgeMs;
    history.addLast(new Change(from, List.copyOf(items)));
    keptItems += items.size() + 1;
    while (keptItems > MAX_KEPT_ITEMS) {
      keptItems -= history.pollFirst().items.size() + 1;
    }
    subscribers.forEach(this::update);
  }

  /** Records that a snapshot has replaced all items; earlier changes are no longer known. */
  void onSnapshot(StorePosition newPosition, long newFailureAgeMs) {
    position = newPosition;
    failureAgeMs = newFailureAgeMs;
    history.clear();
    keptItems = 0;
    subscribers.forEach(this::update);
  }

  private void update(InboundPeerLink link, Subscriber subscriber) {
    PeerMessage declaration = declarations.changeSince(subscriber.version);
    if (declaration != null) {
      link.send(declaration);
      subscriber.version = current.current().version();
    }
    if (subscriber.position.equals(position)) {
      link.send(new PeerMessage.StoreChanges(false, position, position, failureAgeMs, List.of()));
      return;
    }
    List<Item> missed = missedItems(subscriber.position);
    boolean snapshot = missed == null;
    link.send(
        new PeerMessage.StoreChanges(
            snapshot,
            subscriber.position,
            position,
            failureAgeMs,
            snapshot ? List.copyOf(allItems.get()) : missed));
    subscriber.position = position;
  }

  /** Returns the items changed after {@code since}, or null if that is not known. */
  private List<Item> missedItems(StorePosition since) {
    boolean kept = !history.isEmpty() && !history.peekFirst().from.isAfter(since);
    if (!kept || since.era() != position.era() || since.isAfter(position)) {
      return null;
    }
    List<Item> items = new ArrayList<>();
    for (Change change : history) {
      for (Item item : change.items) {
        if (item.revision() > since.revision()) {
          items.add(item);
        }
      }
    }
    return items;
  }
}
