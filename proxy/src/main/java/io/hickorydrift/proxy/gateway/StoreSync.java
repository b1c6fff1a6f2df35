package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.relay.RelaySelection;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Keeps this instance's copy of the store's contents up to date. Follows a relay of the failure
 * domain, or watches the store itself if {@link RelaySelection} says so: reads a snapshot of all
 * keys, then issues one watch after another; if the store no longer has the history that a watch
 * needs, reads a new snapshot.
 *
 * <p>Invariant: after each result, all changes up to {@link #position} have been applied; the
 * position never decreases, and nothing of two eras of the store is mixed. Thread safety: confined
 * to the loop's thread.
 */
final class StoreSync {
  // Pause after a change, so that a series of changes costs one call. Short beside the bounds for
  // declarations, keys and targets, which are at least 3 s.
  private static final long CHANGE_PAUSE_MS = 150;
  // Maximum time for which this instance may stay behind its peers. Above the pause after a change
  // at their relays and at the own one.
  private static final long STALE_NANOS = 1_000_000_000L;
  private static final long REPEATED_LOSS_MS = 1_000;
  // Time for the other instances of a fleet that starts to register themselves.
  private static final long START_PAUSE_MS = 300;
  // Time for the first candidate for the relay to read the store and, by its next heartbeat, to say
  // so.
  private static final long RELOAD_WAIT_MS = 450;
  private static final String ALL_KEYS = "";

  private final EventLoop loop;
  private final KeyValueStore store;
  private final StoreContents contents;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Peers peers;
  private final RelayService relay;
  private final StoreEra era;
  private final RelaySubscription subscription;
  private final WatchWait watchWait;
  private final StoreRetry retries;
  private final SnapshotReader snapshots;
  private final String self;
  private RelaySelection selection;
  private StorePosition position = StorePosition.NONE;
  private boolean loaded;
  private boolean watching;
  private boolean paused;
  private long watchNumber;
  private long behindSinceNanos;
  private long historyLostNanos;
  private boolean historyLost;
  private boolean reachable;
  private Status lastFailure;

  StoreSync(
      EventLoop loop,
      KeyValueStore store,
      StoreContents contents,
      Declarations declarations,
      FleetMembership fleet,
      Peers peers,
      RelayService relay,
      StoreEra era,
      String self) {
    this.loop = loop;
    this.store = store;
    this.contents = contents;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
    this.relay = relay;
    this.era = era;
    subscription = new RelaySubscription(loop, declarations);
    watchWait = new WatchWait(loop, declarations, peers);
    era.addListener(this::onNewEra);
    this.self = self;
    retries = new StoreRetry(loop, fleet, peers, self);
    snapshots =
        new SnapshotReader(
            loop,
            store,
            new SnapshotReader.Listener() {
              @Override
              public void read(List<Item> items, long requestNanos, StorePosition readAt) {
                onLoaded(items, requestNanos, readAt);
              }

              @Override
              public void failed(Status status) {
                onFailure(status, StoreSync.this::load);
              }
            });
  }

  /** Returns whether a snapshot has been applied. */
  boolean loaded() {
    return loaded && declarations.storedValue() != null;
  }

  /** Returns whether entries that expired during a store outage have had time to be rewritten. */
  boolean settled() {
    return loaded && (watching ? reachable : subscription.isAnswered()) && contents.settled();
  }

  /** Returns whether this instance watches the store itself. */
  boolean isWatching() {
    return watching && loaded && reachable;
  }

  /**
   * Returns whether this instance needs the relays of other failure domains: to compare what it
   * sees of the store, or as the only ones to learn from while its own calls are not answered.
   */
  boolean needsOtherRelays() {
    return isWatching() || watching && retries.dependsOnOwnCalls();
  }

  StorePosition position() {
    return position;
  }

  /** Reads the members of the fleet, to find a relay, and then begins to follow or to watch. */
  void start() {
    readMembers(false);
  }

  private void readMembers(boolean firstStart) {
    store.staleRange(
        FleetMembership.keyPrefix(),
        "",
        result -> {
          contents.applyAll(result.items(), result.position().era());
          if (!firstStart && fleet.relayCandidates().size() < 2) {
            // No member is registered yet: the whole failure domain starts.
            loop.after(START_PAUSE_MS, () -> readMembers(true));
            return;
          }
          Logger.info("event=relay_candidates candidates={}", fleet.relayCandidates());
          selection = new RelaySelection(self, firstStart, loop.nowNanos());
          peers.updateLinks();
          tick();
        });
  }

  /** Follows the relay that the selection chooses, or watches the store. */
  void tick() {
    if (selection == null) {
      return;
    }
    String choice = selection.choose(fleet.relayCandidates(), peers::relayStatus, loop.nowNanos());
    if (choice == null) {
      return;
    }
    if (choice.equals(self)) {
      subscription.stop();
      if (!watching) {
        beginWatching();
      }
    } else {
      subscription.follow(peers.link(choice), position);
      checkSubscription();
    }
    replaceLongWatch();
  }

  private void beginWatching() {
    Logger.info("event=store_watch_started position={}", position);
    watching = true;
    retries.reset();
    if (loaded && isOfCurrentEra() && !declarations.needsStoreVersion()) {
      watch();
    } else {
      load();
    }
  }

  private boolean isOfCurrentEra() {
    return position.era() == era.current();
  }

  /**
   * Handles that the store was restored from an older copy. The first candidate for the relay reads
   * a snapshot at once. The others get it from their relay, and read one only if none came.
   */
  private void onNewEra(StoreEra.Source source) {
    contents.recordFailure(0);
    declarations.onNewEra();
    if (!watching) {
      subscription.awaitAnswer();
      return;
    }
    long number = ++watchNumber;
    loop.after(
        reloadDelayMs(),
        () -> {
          if (number == watchNumber && watching) {
            load();
          }
        });
  }

  private long reloadDelayMs() {
    if (fleet.relayCandidates().indexOf(self) == 0) {
      return 0;
    }
    double turn = Rendezvous.unitHash(self, "era " + era.current());
    return (long) ((1 + turn) * RELOAD_WAIT_MS);
  }

  /** Repeats a subscription that was not answered, and watches the store meanwhile. */
  private void checkSubscription() {
    if (subscription.isUnansweredFor(STALE_NANOS)) {
      subscription.renew(position);
      if (!watching) {
        beginWatching();
      }
    }
  }

  /** Applies changes that the followed relay sent; those of another peer are ignored. */
  void onChanges(OutboundPeerLink link, PeerMessage.StoreChanges changes) {
    if (!subscription.isFollowing(link)) {
      return;
    }
    era.observe(changes.position().era(), StoreEra.Source.PEER);
    if (changes.position().era() < era.current()) {
      Logger.warn("event=relay_outdated relay={} position={}", link.peer(), changes.position());
      return;
    }
    contents.recordFailure(changes.failureAgeMs());
    boolean gap = !changes.snapshot() && (!loaded || !continues(changes));
    if (gap) {
      Logger.warn(
          "event=relay_gap relay={} position={} from={}", link.peer(), position, changes.from());
      subscription.renew(position);
      return;
    }
    if (!position.isAfter(changes.position())) {
      applyRelayed(changes);
    }
    subscription.onAnswer();
    if (watching) {
      Logger.info("event=store_watch_ended relay={} position={}", link.peer(), position);
      watching = false;
      watchNumber++;
      declarations.onStoreUnwatched();
    }
  }

  private boolean continues(PeerMessage.StoreChanges changes) {
    return changes.from().era() == position.era()
        && changes.from().revision() <= position.revision();
  }

  private void applyRelayed(PeerMessage.StoreChanges changes) {
    final StorePosition before = position;
    position = changes.position();
    if (changes.snapshot()) {
      contents.applySnapshot(changes.items(), position);
      onFirstLoad();
      relay.onSnapshot(position, contents.failureAgeMs());
      return;
    }
    contents.applyAll(changes.items(), position.era());
    if (position.isAfter(before)) {
      relay.onChanges(before, position, contents.failureAgeMs(), changes.items());
    }
  }

  /** Opens the links that the first state asks for at once, rather than at the next heartbeat. */
  private void onFirstLoad() {
    if (!loaded) {
      loaded = true;
      peers.updateLinks();
    }
  }

  private void load() {
    watchNumber++;
    retries.onCall(0);
    snapshots.read();
  }

  private void onLoaded(List<Item> items, long requestNanos, StorePosition readAt) {
    if (readAt.era() < era.current()) {
      load();
      return;
    }
    markReachable();
    if (!position.isAfter(readAt)) {
      contents.applySnapshot(items, readAt);
      position = readAt;
      onFirstLoad();
      declarations.confirmByStoreAt(requestNanos);
      relay.onSnapshot(position, contents.failureAgeMs());
    }
    if (watching) {
      watch();
    }
  }

  private void watch() {
    paused = false;
    long requestNanos = loop.nowNanos();
    long number = ++watchNumber;
    long waitMs = watchWait.start(reachable);
    retries.onCall(waitMs);
    store.watch(
        ALL_KEYS,
        position.revision(),
        waitMs,
        result -> {
          if (number == watchNumber) {
            onWatchResult(result, requestNanos);
          }
        });
  }

  /**
   * Compares the position of the store that a peer has applied with that of this instance. A watch
   * or a subscription that stays behind the peers for too long counts as dead and is replaced.
   */
  void onPeerPosition(StorePosition peerPosition) {
    era.observe(peerPosition.era(), StoreEra.Source.PEER);
    boolean comparable = watching ? reachable && !paused : subscription.isAnswered();
    boolean ahead =
        peerPosition.era() == position.era() && peerPosition.revision() > position.revision();
    if (!ahead || !loaded || !comparable) {
      behindSinceNanos = loop.nowNanos();
    } else if (loop.nowNanos() - behindSinceNanos > STALE_NANOS) {
      Logger.warn("event=watch_behind position={} peer_position={}", position, peerPosition);
      behindSinceNanos = loop.nowNanos();
      if (watching) {
        watch();
      } else {
        subscription.renew(position);
      }
    }
  }

  /** Replaces a long watch by a short one when peers no longer provide proofs. */
  private void replaceLongWatch() {
    if (isWatching() && isOfCurrentEra() && !paused && watchWait.isTooLong()) {
      watch();
    }
  }

  private void onWatchResult(ReadResult result, long requestNanos) {
    if (result.status() == Status.OK && result.position().era() != position.era()) {
      load();
    } else if (result.status() == Status.OK) {
      markReachable();
      applyChanges(result, requestNanos);
    } else if (result.status() == Status.HISTORY_LOST) {
      Logger.info("event=history_lost position={}", position);
      onHistoryLost();
    } else {
      onFailure(result.status(), this::watch);
    }
  }

  private void applyChanges(ReadResult result, long requestNanos) {
    contents.applyAll(result.items(), position.era());
    List<Item> entries = new ArrayList<>();
    for (Item item : result.items()) {
      if (contents.isRelayed(item)) {
        entries.add(item);
      }
    }
    declarations.confirmByStoreAt(requestNanos);
    StorePosition before = position;
    position = result.position().isAfter(position) ? result.position() : position;
    if (!position.equals(before)) {
      relay.onChanges(before, position, contents.failureAgeMs(), entries);
      watchAfterPause(CHANGE_PAUSE_MS);
    } else if (watchWait.endedEarly(loop.nowNanos())) {
      // An answer without a change before the end of the wait would be repeated at once.
      watchAfterPause(StoreRetry.RETRY_MS);
    } else {
      watch();
    }
  }

  private void watchAfterPause(long pauseMs) {
    paused = true;
    afterPause(pauseMs, this::watch);
  }

  /** Runs {@code action} after a pause, unless another call has begun or the watch has ended. */
  private void afterPause(long pauseMs, Runnable action) {
    long number = watchNumber;
    loop.after(
        pauseMs,
        () -> {
          if (number == watchNumber && watching) {
            action.run();
          }
        });
  }

  /** Reads a new snapshot; repeated losses wait, since the store would be called without pause. */
  private void onHistoryLost() {
    boolean repeated = historyLost && elapsedMs(historyLostNanos) < REPEATED_LOSS_MS;
    historyLost = true;
    historyLostNanos = loop.nowNanos();
    if (repeated) {
      afterPause(StoreRetry.RETRY_MS, this::load);
    } else {
      load();
    }
  }

  private long elapsedMs(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - sinceNanos);
  }

  private void markReachable() {
    retries.reset();
    if (!reachable) {
      reachable = true;
      lastFailure = null;
      Logger.info("event=store_reachable position={}", position);
    }
  }

  private void onFailure(Status status, Runnable retry) {
    if (status != lastFailure) {
      Logger.warn("event=store_lost status={} proof_age_ms={}", status, declarations.proofAgeMs());
    }
    reachable = false;
    lastFailure = status;
    contents.recordFailure(0);
    store.closeIdleConnections();
    afterPause(retries.pauseMs(status, loaded), retry);
  }
}
