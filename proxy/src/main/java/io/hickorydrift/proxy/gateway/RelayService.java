package io.hickorydrift.proxy.gateway;

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
 * of revision, or a snapshot in their place. Thread safety: confined to the loop's thread.
 */
final class RelayService {
  // Covers the changes between the loss of one relay and the subscription to the next.
  private static final int MAX_KEPT_ITEMS = 1_000;

  private static final class Subscriber {
    private long revision;
    private long version;
  }

  private record Change(long fromRevision, long revision, List<Item> items) {}

  private final DeclarationExchange declarations;
  private final Declarations current;
  private final Supplier<Collection<Item>> allItems;
  private final Map<InboundPeerLink, Subscriber> subscribers = new HashMap<>();
  private final ArrayDeque<Change> history = new ArrayDeque<>();
  private int keptItems;
  private long revision;
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
    subscriber.revision = request.revision();
    subscriber.version = request.version();
    subscribers.put(link, subscriber);
    if (revision > 0) {
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
   * @param fromRevision revision before the changes
   * @param newRevision revision with the changes
   * @param newFailureAgeMs time since the store was last unreachable
   * @param items changed items except the declaration
   */
  void onChanges(long fromRevision, long newRevision, long newFailureAgeMs, List<Item> items) {
    revision = newRevision;
    failureAgeMs = newFailureAgeMs;
    history.addLast(new Change(fromRevision, newRevision, List.copyOf(items)));
    keptItems += items.size() + 1;
    while (keptItems > MAX_KEPT_ITEMS) {
      keptItems -= history.pollFirst().items.size() + 1;
    }
    subscribers.forEach(this::update);
  }

  /** Records that a snapshot has replaced all items; earlier changes are no longer known. */
  void onSnapshot(long newRevision, long newFailureAgeMs) {
    revision = newRevision;
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
    if (subscriber.revision == revision) {
      link.send(new PeerMessage.StoreChanges(false, revision, revision, failureAgeMs, List.of()));
      return;
    }
    List<Item> missed = missedItems(subscriber.revision);
    boolean snapshot = missed == null;
    link.send(
        new PeerMessage.StoreChanges(
            snapshot,
            subscriber.revision,
            revision,
            failureAgeMs,
            snapshot ? List.copyOf(allItems.get()) : missed));
    subscriber.revision = revision;
  }

  /** Returns the items changed after {@code since}, or null if that is not known. */
  private List<Item> missedItems(long since) {
    if (history.isEmpty() || since < history.peekFirst().fromRevision || since > revision) {
      return null;
    }
    List<Item> items = new ArrayList<>();
    for (Change change : history) {
      for (Item item : change.items) {
        if (item.revision() > since) {
          items.add(item);
        }
      }
    }
    return items;
  }
}
