package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Applies changes in the store to the declaration, the targets and the fleet's membership. Reads a
 * snapshot of all keys, then issues one watch after another; if the store no longer has the history
 * that a watch needs, reads a new snapshot.
 *
 * <p>Invariant: after each result, all changes up to the store revision in it have been applied.
 * Thread safety: confined to the loop's thread.
 */
final class StoreSync {
  // The result of a watch proves that keys are current, so it has to arrive often.
  private static final long WATCH_WAIT_MS = 900;
  // Used while peers provide such proofs. A change still ends the watch at once.
  private static final long LONG_WATCH_WAIT_MS = 8_000;
  private static final long LONG_WATCH_MAX_PROOF_AGE_MS = 2_900;
  // An instance that serves no group needs target entries only when it takes over a group, and
  // receives new declarations from its peers. The bounds for both are at least 3 s, well above this
  // pause.
  private static final long WATCH_PAUSE_MS = 2_000;
  // Maximum time for which a watch may stay behind the peers. Also the minimum age of a long watch
  // before it is replaced.
  private static final long STALE_WATCH_NANOS = 700_000_000L;
  // While the store is unreachable, short watches detect its recovery early.
  private static final long UNREACHABLE_WATCH_WAIT_MS = 1;
  private static final long RETRY_MS = 250;
  // Entries whose leases expired during a store outage are rewritten within about two seconds.
  private static final long ENTRY_RECOVERY_NANOS = 2_500_000_000L;
  private static final String ALL_KEYS = "";

  private final EventLoop loop;
  private final KeyValueStore store;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final FleetMembership fleet;
  private final Map<String, EventLoop.Timer> removals = new HashMap<>();
  private long revision;
  private final BooleanSupplier providesProofs;
  private final BooleanSupplier servesAnyGroup;
  private boolean paused;
  private long watchNumber;
  private long watchStartedNanos;
  private long watchWaitMs;
  private long behindSinceNanos;
  private boolean reachable;
  private long lastFailureNanos;
  private boolean loaded;
  private Status lastFailure;

  StoreSync(
      EventLoop loop,
      KeyValueStore store,
      PlatformAdapter platform,
      Declarations declarations,
      Directory directory,
      FleetMembership fleet,
      BooleanSupplier providesProofs,
      BooleanSupplier servesAnyGroup) {
    this.providesProofs = providesProofs;
    this.servesAnyGroup = servesAnyGroup;
    this.loop = loop;
    this.store = store;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.fleet = fleet;
    lastFailureNanos = loop.nowNanos();
  }

  /** Returns whether a snapshot has been read. */
  boolean loaded() {
    return loaded;
  }

  /** Returns whether entries that expired during a store outage have had time to be rewritten. */
  boolean settled() {
    return loaded && reachable && loop.nowNanos() - lastFailureNanos >= ENTRY_RECOVERY_NANOS;
  }

  /** Reads a snapshot, then watches for changes. */
  void start() {
    watchNumber++;
    load("", new ArrayList<>(), loop.nowNanos(), Long.MAX_VALUE);
  }

  private void load(String after, List<Item> items, long requestNanos, long firstRevision) {
    store.range(
        ALL_KEYS,
        after,
        result -> {
          if (result.status() != Status.OK) {
            onFailure(result.status(), this::start);
            return;
          }
          items.addAll(result.items());
          long snapshotRevision = Math.min(firstRevision, result.revision());
          if (result.truncated() && !result.items().isEmpty()) {
            String last = result.items().get(result.items().size() - 1).key();
            load(last, items, requestNanos, snapshotRevision);
            return;
          }
          markReachable();
          applySnapshot(items);
          revision = snapshotRevision;
          loaded = true;
          declarations.confirmCurrentAt(requestNanos);
          watch();
        });
  }

  private void applySnapshot(List<Item> items) {
    Set<String> targets = new HashSet<>();
    Set<String> members = new HashSet<>();
    for (Item item : items) {
      apply(item);
      if (item.key().startsWith(platform.targetsPrefix())) {
        targets.add(item.key());
      } else if (fleet.ownsKey(item.key())) {
        members.add(item.key());
      }
    }
    for (TargetEntry entry : directory.entries()) {
      String key = platform.targetsPrefix() + entry.id();
      if (!targets.contains(key)) {
        removeTarget(key);
      }
    }
    fleet.retainMembers(members);
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
    return providesProofs.getAsBoolean() || !peersProvideProofs
        ? WATCH_WAIT_MS
        : LONG_WATCH_WAIT_MS;
  }

  /**
   * Compares the store revision that a peer has applied with that of this instance. A watch that
   * stays behind the peers for too long counts as dead and is replaced.
   */
  void onPeerRevision(long peerRevision) {
    if (peerRevision <= revision || !loaded || !reachable || paused) {
      behindSinceNanos = loop.nowNanos();
    } else if (loop.nowNanos() - behindSinceNanos > STALE_WATCH_NANOS) {
      Logger.warn("event=watch_behind revision={} peer_revision={}", revision, peerRevision);
      behindSinceNanos = loop.nowNanos();
      watch();
    }
  }

  /** Replaces a long watch by a short one when peers no longer provide proofs. */
  void tick() {
    boolean longWatch = loaded && reachable && watchWaitMs == LONG_WATCH_WAIT_MS;
    boolean recentlyStarted = loop.nowNanos() - watchStartedNanos < STALE_WATCH_NANOS;
    if (longWatch && !recentlyStarted && declarations.proofAgeMs() > LONG_WATCH_MAX_PROOF_AGE_MS) {
      watch();
    }
  }

  long revision() {
    return revision;
  }

  private void onWatchResult(ReadResult result, long requestNanos) {
    if (result.status() == Status.OK) {
      markReachable();
      result.items().forEach(this::apply);
      revision = Math.max(revision, result.revision());
      declarations.confirmCurrentAt(requestNanos);
      continueWatching();
    } else if (result.status() == Status.HISTORY_LOST) {
      Logger.info("event=history_lost revision={}", revision);
      start();
    } else {
      onFailure(result.status(), this::watch);
    }
  }

  private void continueWatching() {
    boolean peersProvideProofs = declarations.proofAgeMs() < LONG_WATCH_MAX_PROOF_AGE_MS;
    if (providesProofs.getAsBoolean() || servesAnyGroup.getAsBoolean() || !peersProvideProofs) {
      watch();
      return;
    }
    paused = true;
    long number = watchNumber;
    loop.after(
        WATCH_PAUSE_MS,
        () -> {
          if (number == watchNumber) {
            watch();
          }
        });
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
    lastFailureNanos = loop.nowNanos();
    store.closeIdleConnections();
    loop.after(RETRY_MS, retry);
  }

  private void apply(Item item) {
    String key = item.key();
    if (key.equals(platform.declarationKey())) {
      applyDeclaration(item);
    } else if (key.startsWith(platform.targetsPrefix())) {
      applyTarget(item);
    } else if (fleet.ownsKey(key)) {
      fleet.apply(item);
    }
  }

  private void applyDeclaration(Item item) {
    if (item.value() == null) {
      return;
    }
    try {
      declarations.accept(platform.decodeDeclaration(item.value()), item.value());
    } catch (IllegalArgumentException e) {
      declarations.markUnreadable();
      Logger.warn(
          "event=declaration_unreadable revision={} reason=\"{}\"",
          item.revision(),
          e.getMessage());
    }
  }

  private void applyTarget(Item item) {
    if (item.value() == null) {
      removeTarget(item.key());
      return;
    }
    TargetEntry entry = platform.decodeTarget(item.key(), item.value());
    if (entry == null) {
      Logger.warn("event=target_entry_unreadable key={}", item.key());
      directory.remove(targetId(item.key()));
      return;
    }
    EventLoop.Timer removal = removals.remove(item.key());
    if (removal != null) {
      removal.cancel();
    }
    directory.put(entry, item.revision());
  }

  private void removeTarget(String key) {
    long sinceFailureNanos = loop.nowNanos() - lastFailureNanos;
    if (sinceFailureNanos >= ENTRY_RECOVERY_NANOS) {
      directory.remove(targetId(key));
      return;
    }
    if (!removals.containsKey(key)) {
      long waitMs = TimeUnit.NANOSECONDS.toMillis(ENTRY_RECOVERY_NANOS - sinceFailureNanos);
      removals.put(
          key,
          loop.after(
              waitMs,
              () -> {
                removals.remove(key);
                directory.remove(targetId(key));
              }));
    }
  }

  private String targetId(String key) {
    return key.substring(platform.targetsPrefix().length());
  }
}
