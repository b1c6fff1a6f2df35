package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Applies items of the store to the declaration, the targets and the fleet's membership, and keeps
 * those of targets and members for instances that follow this one.
 *
 * <p>Invariant: an item that cannot be applied does not prevent the others from being applied.
 * Thread safety: confined to the loop's thread.
 */
final class StoreContents {
  // Entries whose leases expired during a store outage are rewritten within about two seconds.
  private static final long ENTRY_RECOVERY_NANOS = 2_500_000_000L;

  private final EventLoop loop;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final FleetMembership fleet;
  private final Map<String, Item> items = new TreeMap<>();
  private final Map<String, EventLoop.Timer> removals = new HashMap<>();
  private Item unreadableDeclaration;
  private long lastFailureNanos;

  StoreContents(
      EventLoop loop,
      PlatformAdapter platform,
      Declarations declarations,
      Directory directory,
      FleetMembership fleet) {
    this.loop = loop;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.fleet = fleet;
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
    return item.key().startsWith(platform.targetsPrefix()) || fleet.ownsKey(item.key());
  }

  /** Applies all items of the store; entries that are not among them are removed. */
  void applySnapshot(List<Item> snapshot) {
    Set<String> keys = new HashSet<>();
    for (Item item : snapshot) {
      apply(item);
      keys.add(item.key());
    }
    items.keySet().retainAll(keys);
    for (TargetEntry entry : directory.entries()) {
      String key = platform.targetsPrefix() + entry.id();
      if (!keys.contains(key)) {
        removeTarget(key);
      }
    }
    fleet.retainMembers(keys);
  }

  /** Applies one item. */
  void apply(Item item) {
    try {
      if (item.key().equals(platform.declarationKey())) {
        applyDeclaration(item);
      } else if (isEntry(item)) {
        keep(item);
        if (fleet.ownsKey(item.key())) {
          fleet.apply(item);
        } else {
          applyTarget(item);
        }
      }
    } catch (RuntimeException e) {
      Logger.error(e, "event=store_item_failed key={} revision={}", item.key(), item.revision());
    }
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
      declarations.accept(platform.decodeDeclaration(item.value()), item.value());
    } catch (IllegalArgumentException e) {
      declarations.markUnreadable();
      unreadableDeclaration = item;
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
    if (settled()) {
      directory.remove(targetId(key));
      return;
    }
    if (!removals.containsKey(key)) {
      long waitMs = TimeUnit.NANOSECONDS.toMillis(ENTRY_RECOVERY_NANOS) - failureAgeMs();
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
