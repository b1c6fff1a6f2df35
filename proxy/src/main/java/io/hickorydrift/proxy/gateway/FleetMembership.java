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
 * The instances that live: each keeps an entry under a lease of its own in the store.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class FleetMembership {
  private static final String PREFIX = "fleet/";
  private static final long TTL_MS = 6_000;
  private static final long KEEP_MS = 2_000;
  private static final long RETRY_MS = 400;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String instance;
  private final String address;
  private final double weight;
  private final Map<String, String> members = new HashMap<>();
  private long changes;
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
    return key.startsWith(PREFIX);
  }

  /** Returns a number that changes whenever an instance comes or goes. */
  long changeCount() {
    return changes;
  }

  /** Returns the instances that live and what each can carry. */
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

  /** Returns how many instances live, at least this one. */
  int size() {
    return Math.max(1, members.size());
  }

  void apply(Item item) {
    String name = item.key().substring(PREFIX.length());
    String now = item.value() == null ? null : new String(item.value(), StandardCharsets.UTF_8);
    String before = now == null ? members.remove(name) : members.put(name, now);
    if (!Objects.equals(before, now)) {
      changes++;
      Logger.info("event=fleet_changed size={} instance={}", members.size(), name);
    }
    if (now == null && name.equals(instance) && !leaving) {
      Logger.warn("event=own_entry_lost instance={}", name);
      join();
    }
  }

  /** Returns the ids of all instances that live. */
  Set<String> instanceIds() {
    return members.keySet();
  }

  /** Returns whether this instance's entry stands. */
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
    if (members.keySet().removeIf(name -> !kept.contains(PREFIX + name))) {
      changes++;
    }
  }

  /** Enters this instance and keeps its entry. */
  void join() {
    if (leaving) {
      return;
    }
    store.grantLease(
        TTL_MS,
        done -> {
          if (done.status() == Status.OK) {
            lease = done.value();
            enter();
          } else {
            loop.after(RETRY_MS, this::join);
          }
        });
  }

  private void enter() {
    byte[] value = (address + " " + weight).getBytes(StandardCharsets.UTF_8);
    Write write =
        new Write(List.of(), List.of(new Put(PREFIX + instance, value, lease)), List.of());
    store.write(write, this::entered);
  }

  private void entered(UpdateResult done) {
    if (done.status() == Status.OK) {
      loop.after(KEEP_MS, this::keep);
    } else {
      loop.after(RETRY_MS, done.status() == Status.NOT_FOUND ? this::join : this::enter);
    }
  }

  private void keep() {
    if (leaving) {
      return;
    }
    store.renewLease(
        lease,
        done -> {
          if (done.status() == Status.NOT_FOUND) {
            join();
          } else {
            loop.after(done.status() == Status.OK ? KEEP_MS : RETRY_MS, this::keep);
          }
        });
  }

  /** Lets this instance's entry lapse. */
  void halt() {
    leaving = true;
  }

  /** Removes this instance's entry. */
  void leave() {
    leaving = true;
    if (lease != KeyValueStore.NO_LEASE) {
      store.revokeLease(lease, done -> Logger.info("event=left_fleet status={}", done.status()));
    }
  }
}
