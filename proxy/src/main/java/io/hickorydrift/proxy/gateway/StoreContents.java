package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tinylog.Logger;

/**
 * Applies items of the store to the declaration, the targets, the fleet's membership and the
 * evacuations, and keeps all but the declaration for instances that follow this one.
 *
 * <p>Invariant: an item that cannot be applied does not prevent the others from being applied.
 * Thread safety: confined to the loop's thread.
 */
final class StoreContents {
  // Entries whose leases expired during a store outage are rewritten within about two seconds.
  private static final long ENTRY_RECOVERY_NANOS = 2_500_000_000L;
  // A member may use its part of a rate until its last proof expires, which is shorter.
  private static final long MEMBER_RECOVERY_MS = 5_000;
  // A target that lives writes its entry again within three heartbeats, of 1.2 s each.
  private static final long UNREADABLE_ENTRY_MS = 4_000;
  private static final long NO_COPY = -1;

  private final EventLoop loop;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final FleetMembership fleet;
  private final EvacuationService evacuations;
  private final Map<String, Item> items = new TreeMap<>();
  private final DelayedRemovals removals;
  private final Predicate<String> reachable;
  private final StartSteps steps;
  private Item unreadableDeclaration;
  private long lastFailureNanos;
  private boolean loaded;
  private long copyRevision = NO_COPY;
  private long restoredNanos;
  private long era;

  /** Creates contents; {@code reachable} tests whether the link to a member is up. */
  StoreContents(
      EventLoop loop,
      PlatformAdapter platform,
      Declarations declarations,
      Directory directory,
      FleetMembership fleet,
      EvacuationService evacuations,
      Predicate<String> reachable,
      StartSteps steps) {
    this.steps = steps;
    this.loop = loop;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.fleet = fleet;
    this.evacuations = evacuations;
    this.reachable = reachable;
    removals = new DelayedRemovals(loop);
    lastFailureNanos = loop.nowNanos();
  }

  /** Returns the items that instances which follow this one need. */
  Collection<Item> items() {
    if (!declarations.isUnreadable()) {
      return items.values();
    }
    List<Item> all = new ArrayList<>(items.values());
    all.add(unreadableDeclaration);
    return all;
  }

  /**
   * Returns whether {@code item} is passed on as it is. The declaration is passed on by {@link
   * DeclarationExchange}, unless this instance cannot read it.
   */
  boolean isRelayed(Item item) {
    return isEntry(item) || item == unreadableDeclaration;
  }

  /** Records that the store was unreachable {@code ageMs} ago. */
  void recordFailure(long ageMs) {
    long failureNanos = loop.nowNanos() - TimeUnit.MILLISECONDS.toNanos(ageMs);
    if (failureNanos - lastFailureNanos > 0) {
      lastFailureNanos = failureNanos;
    }
  }

  /** Returns the time since the store was last unreachable, or since the start. */
  long failureAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - lastFailureNanos);
  }

  /** Returns whether entries that expired during a store outage have had time to be rewritten. */
  boolean settled() {
    return loop.nowNanos() - lastFailureNanos >= ENTRY_RECOVERY_NANOS;
  }

  private boolean isEntry(Item item) {
    return item.key().startsWith(platform.targetsPrefix())
        || fleet.ownsKey(item.key())
        || evacuations.ownsKey(item.key());
  }

  /**
   * Applies all items of the store at {@code position}; entries that are not among them are
   * removed. Those that a restore has lost are removed unless they are written again in time.
   */
  void applySnapshot(List<Item> snapshot, StorePosition position) {
    fleet.applyTogether(() -> replaceAll(snapshot, position));
    steps.record(StartSteps.Step.FLEET);
    steps.record(StartSteps.Step.ENTRIES);
  }

  private void replaceAll(List<Item> snapshot, StorePosition position) {
    final long snapshotEra = position.era();
    final boolean restored = loaded && snapshotEra > era;
    loaded = true;
    era = snapshotEra;
    if (restored) {
      copyRevision = position.revision();
      restoredNanos = loop.nowNanos();
    }
    Set<String> keys = new HashSet<>();
    for (Item item : snapshot) {
      if (evacuations.ownsKey(item.key())) {
        keep(item);
      } else {
        apply(item, snapshotEra);
      }
      keys.add(item.key());
    }
    // After the targets, which make their failure domains known.
    evacuations.applySnapshot(snapshot, position, knownDomains());
    for (String key : fleet.keys()) {
      if (!keys.contains(key) && (restored || isMemberOfCopy(key))) {
        removeMemberLater(key, recoveryLeftMs());
      }
    }
    items.keySet().retainAll(keys);
    for (TargetEntry entry : directory.entries()) {
      String key = platform.targetsPrefix() + entry.id();
      if (!keys.contains(key)) {
        removeTarget(key, !restored);
      }
    }
    keys.addAll(removals.pending());
    fleet.retainMembers(keys);
  }

  /**
   * Returns whether the entry of a member is as the copy showed it that the store returned from,
   * while its instance may not have written it again. The lease in the copy may end before that.
   */
  private boolean isMemberOfCopy(String key) {
    Item known = items.get(key);
    return known != null
        && known.revision() <= copyRevision
        && recoveryLeftMs() > 0
        && !fleet.isOwnRegistration(key);
  }

  private long recoveryLeftMs() {
    return MEMBER_RECOVERY_MS - TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - restoredNanos);
  }

  private void removeMemberLater(String key, long delayMs) {
    removals.schedule(
        key,
        delayMs,
        () -> {
          if (reachable.test(fleet.memberId(key))) {
            removeMemberLater(key, MEMBER_RECOVERY_MS);
          } else {
            fleet.remove(key);
          }
        });
  }

  /** Applies items of {@code itemsEra} that were read or received together. */
  void applyAll(List<Item> changed, long itemsEra) {
    fleet.applyTogether(() -> changed.forEach(item -> apply(item, itemsEra)));
    if (!changed.isEmpty()) {
      // The first items that are read are the entries of the members.
      steps.record(StartSteps.Step.FLEET);
    }
  }

  /** Applies one item of {@code itemEra}. */
  private void apply(Item item, long itemEra) {
    StorePosition position = new StorePosition(itemEra, item.revision());
    try {
      if (item.key().equals(platform.declarationKey())) {
        applyDeclaration(item);
      } else if (isEntry(item)) {
        if (fleet.ownsKey(item.key())) {
          applyMember(item, position);
          return;
        }
        keep(item);
        if (evacuations.ownsKey(item.key())) {
          evacuations.apply(item, position, knownDomains());
        } else {
          applyTarget(item, position);
        }
      }
    } catch (RuntimeException e) {
      Logger.error(e, "event=store_item_failed key={} revision={}", item.key(), item.revision());
    }
  }

  private void applyMember(Item item, StorePosition position) {
    boolean removedLater = item.value() == null && isMemberOfCopy(item.key());
    keep(item);
    if (removedLater) {
      removeMemberLater(item.key(), recoveryLeftMs());
    } else {
      removals.cancel(item.key());
      fleet.apply(item, position);
    }
  }

  private Set<String> knownDomains() {
    Set<String> domains = new TreeSet<>(fleet.failureDomains());
    directory.entries().forEach(entry -> domains.add(entry.failureDomain()));
    return domains;
  }

  private void keep(Item item) {
    if (item.value() == null) {
      items.remove(item.key());
    } else {
      items.put(item.key(), item);
    }
  }

  private void applyDeclaration(Item item) {
    if (item.value() == null) {
      return;
    }
    try {
      Declaration declaration = platform.decodeDeclaration(item.value());
      declarations.onStoreVersion(declaration.version());
      declarations.accept(declaration, item.value());
    } catch (IllegalArgumentException e) {
      declarations.markUnreadable();
      unreadableDeclaration = item;
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=declaration_unreadable revision={} reason=\"{}\"",
                  item.revision(),
                  e.getMessage()));
    }
  }

  private void applyTarget(Item item, StorePosition position) {
    if (item.value() == null) {
      removeTarget(item.key(), true);
      return;
    }
    TargetEntry entry;
    try {
      entry = platform.decodeTarget(item.key(), item.value());
    } catch (IllegalArgumentException e) {
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=target_entry_unreadable key={} reason=\"{}\"",
                  item.key(),
                  e.getMessage()));
      // Not the target's own: it stays as it is until it can be taken to be gone.
      removals.schedule(
          item.key(), UNREADABLE_ENTRY_MS, () -> directory.remove(targetId(item.key())));
      return;
    }
    if (!directory.put(entry, position)) {
      Logger.info(
          (Object)
              LogLine.format(
                  "event=target_entry_outdated target={} era={}", entry.id(), position.era()));
    } else if (removals.cancel(item.key())) {
      Logger.info(
          (Object) LogLine.format("event=written_again key={} era={}", item.key(), position.era()));
    }
  }

  /**
   * Removes a target; {@code departed} tells whether the store says that it has left. Has no effect
   * while a removal is pending, as when the entry that vanished was not the target's own.
   */
  private void removeTarget(String key, boolean departed) {
    if (removals.pending().contains(key)) {
      return;
    }
    String id = targetId(key);
    Runnable removal = departed ? () -> directory.remove(id) : () -> directory.forget(id);
    if (settled()) {
      removal.run();
    } else {
      long waitMs = TimeUnit.NANOSECONDS.toMillis(ENTRY_RECOVERY_NANOS) - failureAgeMs();
      removals.schedule(key, waitMs, removal);
    }
  }

  private String targetId(String key) {
    return key.substring(platform.targetsPrefix().length());
  }
}
