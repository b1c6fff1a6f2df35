package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.relay.RelaySelection;
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
 * <p>Invariant: after each result, all changes up to {@link #revision} have been applied; the
 * revision never decreases. Thread safety: confined to the loop's thread.
 */
final class StoreSync {
  // The result of a watch proves that keys are current, so it has to arrive often.
  private static final long WATCH_WAIT_MS = 900;
  // Used while other relays provide such proofs. A change still ends the watch at once.
  private static final long LONG_WATCH_WAIT_MS = 8_000;
  private static final long LONG_WATCH_MAX_PROOF_AGE_MS = 2_000;
  // Pause after a change, so that a series of changes costs one call. Short beside the bounds for
  // declarations, keys and targets, which are at least 3 s.
  private static final long CHANGE_PAUSE_MS = 150;
  // Maximum time for which this instance may stay behind its peers. Above the pause after a change
  // at their relays and at the own one.
  private static final long STALE_NANOS = 1_000_000_000L;
  // While the store is unreachable, short watches detect its recovery early.
  private static final long UNREACHABLE_WATCH_WAIT_MS = 1;
  private static final long RETRY_MS = 250;
  private static final long REPEATED_LOSS_MS = 1_000;
  // A relay finds the recovery of the store and passes it on; the others seldom need to.
  private static final long NON_CANDIDATE_RETRY_MS = 2_000;
  // Time for the other instances of a fleet that starts to register themselves.
  private static final long START_PAUSE_MS = 300;
  private static final String ALL_KEYS = "";

  private final EventLoop loop;
  private final KeyValueStore store;
  private final StoreContents contents;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Peers peers;
  private final RelayService relay;
  private final SnapshotReader snapshots;
  private final String self;
  private RelaySelection selection;
  private long revision;
  private boolean loaded;
  private boolean watching;
  private OutboundPeerLink followed;
  private long followedConnection;
  private boolean subscribed;
  private boolean paused;
  private long watchNumber;
  private long watchStartedNanos;
  private long watchWaitMs;
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
      String self) {
    this.loop = loop;
    this.store = store;
    this.contents = contents;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
    this.relay = relay;
    this.self = self;
    snapshots =
        new SnapshotReader(
            loop,
            store,
            new SnapshotReader.Listener() {
              @Override
              public void read(List<Item> items, long requestNanos, long snapshotRevision) {
                onLoaded(items, requestNanos, snapshotRevision);
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
    return loaded && (watching ? reachable : subscribed) && contents.settled();
  }

  /** Returns whether this instance watches the store itself. */
  boolean isWatching() {
    return watching && loaded && reachable;
  }

  long revision() {
    return revision;
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
          result.items().forEach(contents::apply);
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
      stopFollowing();
      if (!watching) {
        beginWatching();
      }
    } else {
      follow(peers.link(choice));
      checkSubscription();
    }
    replaceLongWatch();
  }

  private void beginWatching() {
    Logger.info("event=store_watch_started revision={}", revision);
    watching = true;
    if (loaded) {
      watch();
    } else {
      load();
    }
  }

  private void stopFollowing() {
    followed = null;
    subscribed = false;
  }

  private void follow(OutboundPeerLink link) {
    if (link == followed && link.connectionNumber() == followedConnection) {
      return;
    }
    followed = link;
    followedConnection = link.connectionNumber();
    subscribed = false;
    subscribe();
  }

  /** Repeats a subscription that was not answered, and watches the store meanwhile. */
  private void checkSubscription() {
    if (!subscribed && loop.nowNanos() - behindSinceNanos > STALE_NANOS) {
      subscribe();
      if (!watching) {
        beginWatching();
      }
    }
  }

  private void subscribe() {
    Logger.info("event=relay_subscribed relay={} revision={}", followed.peer(), revision);
    behindSinceNanos = loop.nowNanos();
    followed.send(
        new PeerMessage.Subscribe(loaded ? revision : 0, declarations.current().version()));
  }

  /** Applies changes that the followed relay sent; those of another peer are ignored. */
  void onChanges(OutboundPeerLink link, PeerMessage.StoreChanges changes) {
    if (link != followed) {
      return;
    }
    contents.recordFailure(changes.failureAgeMs());
    boolean gap = !changes.snapshot() && (!loaded || changes.fromRevision() > revision);
    if (gap) {
      Logger.warn(
          "event=relay_gap relay={} revision={} from={}",
          link.peer(),
          revision,
          changes.fromRevision());
      subscribe();
      return;
    }
    if (changes.revision() >= revision) {
      applyRelayed(changes);
    }
    subscribed = true;
    if (watching) {
      Logger.info("event=store_watch_ended relay={} revision={}", link.peer(), revision);
      watching = false;
      watchNumber++;
    }
  }

  private void applyRelayed(PeerMessage.StoreChanges changes) {
    final long before = revision;
    revision = changes.revision();
    if (changes.snapshot()) {
      contents.applySnapshot(changes.items());
      onFirstLoad();
      relay.onSnapshot(revision, contents.failureAgeMs());
      return;
    }
    changes.items().forEach(contents::apply);
    if (revision > before) {
      relay.onChanges(before, revision, contents.failureAgeMs(), changes.items());
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
    snapshots.read();
  }

  private void onLoaded(List<Item> items, long requestNanos, long snapshotRevision) {
    markReachable();
    if (snapshotRevision >= revision) {
      contents.applySnapshot(items);
      revision = snapshotRevision;
      onFirstLoad();
      declarations.confirmCurrentAt(requestNanos);
      relay.onSnapshot(revision, contents.failureAgeMs());
    }
    if (watching) {
      watch();
    }
  }

  private void watch() {
    paused = false;
    long requestNanos = loop.nowNanos();
    long number = ++watchNumber;
    watchStartedNanos = requestNanos;
    watchWaitMs = nextWatchWaitMs();
    store.watch(
        ALL_KEYS,
        revision,
        watchWaitMs,
        result -> {
          if (number == watchNumber) {
            onWatchResult(result, requestNanos);
          }
        });
  }

  private long nextWatchWaitMs() {
    if (!reachable) {
      return UNREACHABLE_WATCH_WAIT_MS;
    }
    boolean peersProvideProofs = declarations.proofAgeMs() < LONG_WATCH_MAX_PROOF_AGE_MS;
    return peers.providesProofs() || !peersProvideProofs ? WATCH_WAIT_MS : LONG_WATCH_WAIT_MS;
  }

  /**
   * Compares the store revision that a peer has applied with that of this instance. A watch or a
   * subscription that stays behind the peers for too long counts as dead and is replaced.
   */
  void onPeerRevision(long peerRevision) {
    boolean comparable = watching ? reachable && !paused : subscribed;
    if (peerRevision <= revision || !loaded || !comparable) {
      behindSinceNanos = loop.nowNanos();
    } else if (loop.nowNanos() - behindSinceNanos > STALE_NANOS) {
      Logger.warn("event=watch_behind revision={} peer_revision={}", revision, peerRevision);
      behindSinceNanos = loop.nowNanos();
      if (watching) {
        watch();
      } else {
        subscribe();
      }
    }
  }

  /** Replaces a long watch by a short one when peers no longer provide proofs. */
  private void replaceLongWatch() {
    boolean longWatch = watching && loaded && reachable && watchWaitMs == LONG_WATCH_WAIT_MS;
    boolean recentlyStarted = loop.nowNanos() - watchStartedNanos < STALE_NANOS;
    boolean proofTooOld = declarations.proofAgeMs() > LONG_WATCH_MAX_PROOF_AGE_MS;
    if (longWatch && !paused && !recentlyStarted && proofTooOld) {
      watch();
    }
  }

  private void onWatchResult(ReadResult result, long requestNanos) {
    if (result.status() == Status.OK) {
      markReachable();
      applyChanges(result, requestNanos);
    } else if (result.status() == Status.HISTORY_LOST) {
      Logger.info("event=history_lost revision={}", revision);
      onHistoryLost();
    } else {
      onFailure(result.status(), this::watch);
    }
  }

  private void applyChanges(ReadResult result, long requestNanos) {
    List<Item> entries = new ArrayList<>();
    for (Item item : result.items()) {
      contents.apply(item);
      if (contents.isRelayed(item)) {
        entries.add(item);
      }
    }
    declarations.confirmCurrentAt(requestNanos);
    long before = revision;
    revision = Math.max(revision, result.revision());
    if (revision > before) {
      relay.onChanges(before, revision, contents.failureAgeMs(), entries);
      watchAfterPause(CHANGE_PAUSE_MS);
    } else if (elapsedMs(watchStartedNanos) < watchWaitMs) {
      // An answer without a change before the end of the wait would be repeated at once.
      watchAfterPause(RETRY_MS);
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
      afterPause(RETRY_MS, this::load);
    } else {
      load();
    }
  }

  private long elapsedMs(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - sinceNanos);
  }

  private void markReachable() {
    if (!reachable) {
      reachable = true;
      lastFailure = null;
      Logger.info("event=store_reachable revision={}", revision);
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
    boolean retrySoon = fleet.relayCandidates().contains(self) || !loaded;
    afterPause(retrySoon ? RETRY_MS : NON_CANDIDATE_RETRY_MS, retry);
  }
}
