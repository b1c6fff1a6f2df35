package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.HomePlan;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.Put;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import io.hickorydrift.proxy.port.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Tracks the live instances: each registers itself with a store entry that is bound to its own
 * lease.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class FleetMembership {
  private static final String KEY_PREFIX = "fleet/";
  private static final long LEASE_TTL_MS = 6_000;
  private static final long LEASE_RENEWAL_MS = 2_000;
  private static final long RETRY_MS = 400;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String instance;
  private final String address;
  private final double weight;
  private final Map<String, String> members = new HashMap<>();
  private long changeCount;
  private long lease;
  private boolean leaving;

  FleetMembership(
      EventLoop loop, KeyValueStore store, String instance, String address, double weight) {
    this.weight = weight;
    this.loop = loop;
    this.store = store;
    this.instance = instance;
    this.address = address;
  }

  boolean ownsKey(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /** Returns a number that changes whenever an instance joins, leaves or changes its entry. */
  long changeCount() {
    return changeCount;
  }

  /** Returns the live instances with their weights. */
  List<HomePlan.Member> members() {
    List<HomePlan.Member> all = new ArrayList<>();
    members.forEach((id, entry) -> all.add(new HomePlan.Member(id, weight(entry))));
    if (all.isEmpty()) {
      all.add(new HomePlan.Member(instance, 1));
    }
    return all;
  }

  private static double weight(String entry) {
    try {
      return Double.parseDouble(entry.substring(entry.indexOf(' ') + 1));
    } catch (NumberFormatException e) {
      Logger.warn("event=fleet_entry_unreadable entry=\"{}\"", entry);
      return 0;
    }
  }

  /** Returns the number of live instances, at least 1. */
  int size() {
    return Math.max(1, members.size());
  }

  void apply(Item item) {
    String name = item.key().substring(KEY_PREFIX.length());
    String entry = item.value() == null ? null : new String(item.value(), StandardCharsets.UTF_8);
    String previous = entry == null ? members.remove(name) : members.put(name, entry);
    if (!Objects.equals(previous, entry)) {
      changeCount++;
      Logger.info("event=fleet_changed size={} instance={}", members.size(), name);
    }
    if (entry == null && name.equals(instance) && !leaving) {
      Logger.warn("event=own_entry_lost instance={}", name);
      join();
    }
  }

  /** Returns the ids of all live instances. */
  Set<String> instanceIds() {
    return members.keySet();
  }

  /** Returns whether this instance has an entry in the store. */
  boolean isMember() {
    return members.containsKey(instance);
  }

  /** Returns the addresses of the other instances by id. */
  Map<String, String> otherAddresses() {
    Map<String, String> others = new HashMap<>();
    members.forEach((id, entry) -> others.put(id, entry.split(" ", 2)[0]));
    others.remove(instance);
    return others;
  }

  void retainMembers(Set<String> kept) {
    if (members.keySet().removeIf(name -> !kept.contains(KEY_PREFIX + name))) {
      changeCount++;
    }
  }

  /** Registers this instance under a new lease and keeps renewing the lease. */
  void join() {
    if (leaving) {
      return;
    }
    store.grantLease(
        LEASE_TTL_MS,
        result -> {
          if (result.status() == Status.OK) {
            lease = result.value();
            writeEntry();
          } else {
            loop.after(RETRY_MS, this::join);
          }
        });
  }

  private void writeEntry() {
    byte[] value = (address + " " + weight).getBytes(StandardCharsets.UTF_8);
    Write write =
        new Write(List.of(), List.of(new Put(KEY_PREFIX + instance, value, lease)), List.of());
    store.write(write, this::onEntryWritten);
  }

  private void onEntryWritten(UpdateResult result) {
    if (result.status() == Status.OK) {
      loop.after(LEASE_RENEWAL_MS, this::renewLease);
    } else {
      loop.after(RETRY_MS, result.status() == Status.NOT_FOUND ? this::join : this::writeEntry);
    }
  }

  private void renewLease() {
    if (leaving) {
      return;
    }
    store.renewLease(
        lease,
        result -> {
          if (result.status() == Status.NOT_FOUND) {
            join();
          } else {
            loop.after(
                result.status() == Status.OK ? LEASE_RENEWAL_MS : RETRY_MS, this::renewLease);
          }
        });
  }

  /** Stops renewing the lease, so that this instance's entry expires. */
  void halt() {
    leaving = true;
  }

  /** Ends the lease, which removes this instance's entry. */
  void leave() {
    leaving = true;
    if (lease != KeyValueStore.NO_LEASE) {
      store.revokeLease(
          lease, result -> Logger.info("event=left_fleet status={}", result.status()));
    }
  }
}
