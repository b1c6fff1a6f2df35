package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.HomePlan;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.relay.RelayRanking;
import io.hickorydrift.core.store.StorePosition;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Tracks the live instances: each registers itself with a store entry that is bound to its own
 * lease. An instance that is stopping keeps its entry, marked as leaving, until it has ended its
 * work. Until then it holds its parts of rates; other duties go to instances that are not leaving,
 * if there are any.
 *
 * <p>Invariant: one registration is current; only its lease is renewed, and the lease of an earlier
 * one is revoked, unless it is of an earlier era of the store: its id may be another's now. Thread
 * safety: confined to the loop's thread.
 */
final class FleetMembership {
  private static final String KEY_PREFIX = "fleet/";
  // Longer than the proof that lets an instance use its parts of rates, so that no part is taken
  // over while it may still be in use.
  static final long LEASE_TTL_MS = 6_000;
  private static final long LEASE_RENEWAL_MS = 2_500;
  private static final long RETRY_MS = 400;
  // Two more attempts fit into the lease after a renewal that failed.
  private static final long RENEWAL_RETRY_MS = 1_000;
  private static final long MAX_RETRY_MS = 1_600;
  // Spreads the registrations of a fleet after a restore of the store.
  private static final long REJOIN_SPREAD_MS = 800;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String instance;
  private FleetEntry own;
  private final Map<String, FleetEntry> members = new HashMap<>();
  private final FleetChangeLog changeLog;
  private long changeCount;
  private long lease;
  private long registration;
  private boolean registered;
  private StorePosition ownEntryPosition = StorePosition.NONE;
  private long retryMs = RETRY_MS;
  private List<String> relayCandidates = List.of();
  private long rankedChangeCount = -1;
  private boolean left;

  FleetMembership(EventLoop loop, KeyValueStore store, String instance, FleetEntry own) {
    this(loop, store, instance, own, new FleetChangeLog(line -> Logger.info(line)));
  }

  FleetMembership(
      EventLoop loop,
      KeyValueStore store,
      String instance,
      FleetEntry own,
      FleetChangeLog changeLog) {
    this.changeLog = changeLog;
    this.loop = loop;
    this.store = store;
    this.instance = instance;
    this.own = own;
  }

  /** Returns the prefix of the keys of all entries. */
  static String keyPrefix() {
    return KEY_PREFIX;
  }

  boolean ownsKey(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /** Returns a number that changes whenever an instance joins, leaves or changes its entry. */
  long changeCount() {
    return changeCount;
  }

  /** Returns the instances that take duties, with their weights. */
  List<HomePlan.Member> members() {
    List<HomePlan.Member> all = new ArrayList<>();
    stayingIds().forEach(id -> all.add(new HomePlan.Member(id, members.get(id).weight())));
    if (all.isEmpty()) {
      all.add(new HomePlan.Member(instance, 1));
    }
    return all;
  }

  /**
   * Returns the candidates for the relay of the own failure domain, in order of rank. This instance
   * counts as a member even before it is registered.
   */
  List<String> relayCandidates() {
    if (rankedChangeCount != changeCount) {
      rankedChangeCount = changeCount;
      relayCandidates = relayCandidates(own.failureDomain());
    }
    return relayCandidates;
  }

  private List<String> relayCandidates(String failureDomain) {
    List<RelayRanking.Member> inDomain = new ArrayList<>();
    members.forEach(
        (id, entry) -> {
          boolean candidate = !entry.leaving() && !id.equals(instance);
          if (candidate && entry.failureDomain().equals(failureDomain)) {
            inDomain.add(new RelayRanking.Member(id, entry.weight()));
          }
        });
    if (failureDomain.equals(own.failureDomain()) && !own.leaving()) {
      inDomain.add(new RelayRanking.Member(instance, own.weight()));
    }
    return RelayRanking.of(failureDomain, inDomain);
  }

  /** Returns the first candidate for the relay of each other failure domain. */
  Set<String> relaysOfOtherDomains() {
    Set<String> domains = new HashSet<>();
    members.values().stream()
        .filter(entry -> !entry.leaving())
        .forEach(entry -> domains.add(entry.failureDomain()));
    domains.remove(own.failureDomain());
    Set<String> relays = new HashSet<>();
    domains.forEach(domain -> relays.add(relayCandidates(domain).get(0)));
    return relays;
  }

  /** Returns the number of live instances, at least 1. */
  int size() {
    return Math.max(1, members.size());
  }

  /** Returns the id of the member whose entry has {@code key}. */
  String memberId(String key) {
    return key.substring(KEY_PREFIX.length());
  }

  /** Returns whether {@code key} is that of the own entry, and the entry has been written. */
  boolean isOwnRegistration(String key) {
    return registered && memberId(key).equals(instance);
  }

  /** Returns the keys of the entries of all members. */
  List<String> keys() {
    return members.keySet().stream().map(name -> KEY_PREFIX + name).toList();
  }

  /** Removes the member whose entry has {@code key}. */
  void remove(String key) {
    if (members.remove(memberId(key)) != null) {
      recordChange(memberId(key));
    }
  }

  /** Runs {@code action}, which applies several changes, and logs them in one line. */
  void applyTogether(Runnable action) {
    changeLog.begin();
    try {
      action.run();
    } finally {
      changeLog.end(members.size());
    }
  }

  private void recordChange(String name) {
    changeCount++;
    changeLog.record(members.size(), name);
  }

  void apply(Item item, StorePosition position) {
    String name = memberId(item.key());
    if (name.equals(instance) && ownEntryPosition.isAfter(position)) {
      // An event about the entry of an earlier run, or of a lease that has been replaced.
      return;
    }
    FleetEntry stored = FleetEntry.decode(item);
    // The store may not have received the latest own entry yet.
    FleetEntry entry = stored != null && name.equals(instance) ? own : stored;
    FleetEntry previous = entry == null ? members.remove(name) : members.put(name, entry);
    if (!Objects.equals(previous, entry)) {
      recordChange(name);
    }
    if (name.equals(instance) && registered) {
      reconcileOwnEntry(stored);
    }
  }

  /** Repairs the own entry if it has lapsed, or if a delayed write has replaced it. */
  private void reconcileOwnEntry(FleetEntry stored) {
    if (stored == null) {
      Logger.warn("event=own_entry_lost instance={}", instance);
      join();
    } else {
      rewriteIfChanged(registration, stored);
    }
  }

  /** Returns the ids of all live instances. */
  Set<String> instanceIds() {
    return members.keySet();
  }

  /** Returns the ids of the instances that take duties: all that are not leaving, if any. */
  Set<String> stayingIds() {
    Set<String> staying = new HashSet<>(members.keySet());
    staying.removeIf(id -> members.get(id).leaving());
    return staying.isEmpty() ? members.keySet() : staying;
  }

  /** Returns the failure domain of the member {@code id}, or an empty text if it is not one. */
  String failureDomainOf(String id) {
    FleetEntry entry = id.equals(instance) ? own : members.get(id);
    return entry == null ? "" : entry.failureDomain();
  }

  /** Returns the failure domains of all members. */
  Set<String> failureDomains() {
    Set<String> domains = new HashSet<>();
    members.values().forEach(entry -> domains.add(entry.failureDomain()));
    return domains;
  }

  /** Returns whether {@code id} is a member in this instance's failure domain. */
  boolean isInOwnDomain(String id) {
    FleetEntry entry = members.get(id);
    return entry != null && entry.failureDomain().equals(own.failureDomain());
  }

  /** Returns whether this instance has an entry in the store. */
  boolean isMember() {
    return members.containsKey(instance);
  }

  /** Returns the addresses of the other instances by id. */
  Map<String, String> otherAddresses() {
    Map<String, String> others = new HashMap<>();
    members.forEach((id, entry) -> others.put(id, entry.address()));
    others.remove(instance);
    return others;
  }

  void retainMembers(Set<String> kept) {
    for (String name : List.copyOf(members.keySet())) {
      if (!kept.contains(KEY_PREFIX + name)) {
        members.remove(name);
        recordChange(name);
      }
    }
  }

  /**
   * Registers this instance under a new lease and keeps renewing the lease. Ends an earlier
   * registration: its lease is revoked and no longer renewed.
   */
  void join() {
    if (left) {
      return;
    }
    registered = false;
    long current = ++registration;
    revokeLease();
    grantLease(current);
  }

  /**
   * Registers this instance again after the store was restored from an older copy in {@code era}.
   */
  void onNewEra(long era) {
    if (left || registration == 0) {
      return;
    }
    final long current = ++registration;
    registered = false;
    lease = KeyValueStore.NO_LEASE;
    retryMs = RETRY_MS;
    double turn = Rendezvous.unitHash(instance, "era " + era);
    loop.after(
        (long) (turn * REJOIN_SPREAD_MS),
        () -> {
          if (isCurrent(current)) {
            join();
          }
        });
  }

  /** Sets this instance's entry, and writes it again under the same lease if it differs. */
  void setOwnEntry(FleetEntry entry) {
    FleetEntry newer = own.leaving() ? entry.asLeaving() : entry;
    if (newer.equals(own)) {
      return;
    }
    own = newer;
    members.computeIfPresent(instance, (id, previous) -> newer);
    changeCount++;
    if (registered) {
      rewriteEntry(registration);
    }
  }

  private void rewriteEntry(long number) {
    if (!isCurrent(number)) {
      return;
    }
    FleetEntry written = own;
    store.write(
        entryWrite(),
        result -> {
          if (result.status() == Status.OK) {
            ownEntryPosition = new StorePosition(result.era(), result.value());
            rewriteIfChanged(number, written);
          } else if (result.status() != Status.NOT_FOUND) {
            loop.after(nextRetryMs(), () -> rewriteEntry(number));
          }
        });
  }

  /** Writes the entry again if it has changed since {@code written} was. */
  private void rewriteIfChanged(long number, FleetEntry written) {
    if (!written.equals(own)) {
      rewriteEntry(number);
    }
  }

  private Write entryWrite() {
    byte[] value = own.encode().getBytes(StandardCharsets.UTF_8);
    return new Write(List.of(), List.of(new Put(KEY_PREFIX + instance, value, lease)), List.of());
  }

  private boolean isCurrent(long number) {
    return number == registration && !left;
  }

  private void grantLease(long number) {
    if (!isCurrent(number)) {
      return;
    }
    store.grantLease(
        LEASE_TTL_MS,
        result -> {
          if (result.status() != Status.OK) {
            loop.after(nextRetryMs(), () -> grantLease(number));
          } else if (isCurrent(number)) {
            lease = result.value();
            writeEntry(number);
          } else {
            revoke(result.value());
          }
        });
  }

  private void writeEntry(long number) {
    if (!isCurrent(number)) {
      return;
    }
    FleetEntry written = own;
    store.write(entryWrite(), result -> onEntryWritten(number, written, result));
  }

  private void onEntryWritten(long number, FleetEntry written, UpdateResult result) {
    if (!isCurrent(number)) {
      return;
    }
    if (result.status() == Status.OK) {
      registered = true;
      retryMs = RETRY_MS;
      if (ownEntryPosition.isAfter(StorePosition.NONE) && result.era() > ownEntryPosition.era()) {
        Logger.info("event=written_again key={}{} era={}", KEY_PREFIX, instance, result.era());
      }
      ownEntryPosition = new StorePosition(result.era(), result.value());
      loop.after(LEASE_RENEWAL_MS, () -> renewLease(number));
      rewriteIfChanged(number, written);
    } else if (result.status() == Status.NOT_FOUND) {
      loop.after(nextRetryMs(), () -> rejoin(number));
    } else {
      loop.after(nextRetryMs(), () -> writeEntry(number));
    }
  }

  /** Returns the delay before the next attempt; it doubles while the store refuses or is away. */
  private long nextRetryMs() {
    long delayMs = retryMs;
    retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    return delayMs;
  }

  private void rejoin(long number) {
    if (isCurrent(number)) {
      join();
    }
  }

  private void renewLease(long number) {
    if (!isCurrent(number)) {
      return;
    }
    store.renewLease(
        lease,
        result -> {
          if (result.status() == Status.NOT_FOUND) {
            rejoin(number);
          } else {
            boolean renewed = result.status() == Status.OK;
            retryMs = renewed ? RETRY_MS : Math.max(RENEWAL_RETRY_MS, retryMs);
            loop.after(renewed ? LEASE_RENEWAL_MS : nextRetryMs(), () -> renewLease(number));
          }
        });
  }

  private void revokeLease() {
    if (lease != KeyValueStore.NO_LEASE) {
      revoke(lease);
      lease = KeyValueStore.NO_LEASE;
    }
  }

  private void revoke(long granted) {
    store.revokeLease(
        granted, result -> Logger.info("event=lease_revoked status={}", result.status()));
  }

  /** Stops renewing the lease, so that this instance's entry expires. */
  void halt() {
    left = true;
  }

  /** Marks this instance's entry as leaving. */
  void prepareToLeave() {
    setOwnEntry(own.asLeaving());
  }

  /** Revokes the lease, which removes this instance's entry. */
  void leave() {
    left = true;
    revokeLease();
  }
}
