package io.hickorydrift.proxy.control;

import io.hickorydrift.core.membership.Membership;
import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.DigestMark;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.DomainsAlive;
import io.hickorydrift.core.message.Heartbeat;
import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.proxy.peer.PeerNetwork;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Maintains membership: sends heartbeats within the own failure domain and between relays, and
 * digests of whole domains between relays and from relays to their own domain. Links for these
 * messages are kept open; other links are opened when a message is sent.
 *
 * <p>Invariant: an instance's periodic traffic grows with the size of its domain and the number of
 * domains, not with the size of the fleet.
 *
 * <p>Thread safety: confined to the control worker.
 */
final class MembershipService {
  private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long FULL_RESEND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long DIGEST_MARKS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);
  private static final long DIGEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long STALE_PEER_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final int RELAYS_PER_DOMAIN = 2;

  private record Sent(long mark, long sentNanos) {}

  private final String self;
  private final String failureDomain;
  private final Map<String, String> seeds;
  private final PeerNetwork peers;
  private final Supplier<Heartbeat> ownHeartbeat;
  private final Membership membership;
  private final Map<String, ListedMachine> listedInstances = new HashMap<>();
  private final Map<String, Sent> sentHeartbeats = new HashMap<>();
  private final Map<String, Sent> sentDigests = new HashMap<>();
  private List<Heartbeat> livePeers = List.of();
  private boolean relay = true;
  private Set<String> linkedPeers = Set.of();
  private Record lastDomainMessage;
  private long lastDomainMessageNanos = Long.MIN_VALUE;
  private long lastHeartbeatNanos = Long.MIN_VALUE;
  private long lastMarksNanos = Long.MIN_VALUE;

  /** Maintains membership for {@code self}; {@code ownHeartbeat} supplies its heartbeat. */
  MembershipService(
      String self,
      String failureDomain,
      Map<String, String> seeds,
      PeerNetwork peers,
      Supplier<Heartbeat> ownHeartbeat) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.seeds = seeds;
    this.peers = peers;
    this.ownHeartbeat = ownHeartbeat;
    membership = new Membership(self, failureDomain, HEARTBEAT_TIMEOUT_NANOS, DIGEST_TIMEOUT_NANOS);
  }

  /** Returns the peers that were live at the last tick, and those first heard from since. */
  List<Heartbeat> livePeers() {
    return livePeers;
  }

  /** Returns whether this instance was a relay between its domain and the others at that tick. */
  boolean isRelay() {
    return relay;
  }

  /**
   * Handles a heartbeat and returns whether its sender was not live before. Such a peer counts as
   * live at once: at the next tick it would be too late for an instance that has just started and
   * gets its settings from this peer in the meantime.
   */
  boolean onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    membership.onHeartbeat(heartbeat, nowNanos);
    boolean known =
        heartbeat.instance().equals(self)
            || livePeers.stream().anyMatch(peer -> peer.instance().equals(heartbeat.instance()));
    if (!known) {
      livePeers = membership.livePeers(nowNanos);
    }
    return !known;
  }

  void onAlive(String peer, Alive alive, long nowNanos) {
    membership.onAlive(peer, alive, nowNanos);
  }

  void onDigest(DomainDigest digest, long nowNanos) {
    membership.onDigest(digest, nowNanos);
  }

  void onDomainsAlive(DomainsAlive alive, long nowNanos) {
    membership.renewDigests(alive.marks(), nowNanos);
  }

  /**
   * Handles the loss of the link to {@code peer}, which may no longer hold the messages sent to it:
   * the next ones are sent in full.
   */
  void onLinkClosed(String peer) {
    sentHeartbeats.remove(peer);
    sentDigests.keySet().removeIf(key -> key.startsWith(peer + "/"));
  }

  /** Sets the platform's list of instances. */
  void setListedInstances(Collection<ListedMachine> instances) {
    listedInstances.clear();
    for (ListedMachine instance : instances) {
      listedInstances.put(instance.id(), instance);
    }
  }

  /**
   * Sends {@code message} to the own domain if it has changed or a full resend is due; returns
   * whether it did.
   */
  boolean sendToDomainIfChanged(Record message, long nowNanos) {
    if (message.equals(lastDomainMessage)
        && !due(lastDomainMessageNanos, FULL_RESEND_INTERVAL_NANOS, nowNanos)) {
      return false;
    }
    lastDomainMessage = message;
    lastDomainMessageNanos = nowNanos;
    sendToDomain(message);
    return true;
  }

  /** Sends {@code message} to all live instances of the own domain. */
  void sendToDomain(Record message) {
    for (String peer : liveInOwnDomain(System.nanoTime())) {
      peers.send(peer, message);
    }
  }

  /** Sends the next heartbeat at the next tick. */
  void scheduleHeartbeat() {
    lastHeartbeatNanos = Long.MIN_VALUE;
  }

  void tick(long nowNanos) {
    membership.removeStale(STALE_PEER_RETENTION_NANOS, nowNanos);
    livePeers = membership.livePeers(nowNanos);
    relay = relaysOf(failureDomain, liveInOwnDomain(nowNanos)).contains(self);
    updateLinks();
    if (due(lastHeartbeatNanos, HEARTBEAT_INTERVAL_NANOS, nowNanos)) {
      lastHeartbeatNanos = nowNanos;
      sendHeartbeats(nowNanos);
      if (relay) {
        sendDigests(nowNanos);
      }
    }
  }

  private static boolean due(long lastNanos, long periodNanos, long nowNanos) {
    return lastNanos == Long.MIN_VALUE || nowNanos - lastNanos >= periodNanos;
  }

  private void sendHeartbeats(long nowNanos) {
    Heartbeat heartbeat = ownHeartbeat.get();
    Alive alive = new Alive(heartbeat.configEntry());
    long mark = Membership.mark(heartbeat);
    for (String peer : linkedPeers) {
      Sent last = sentHeartbeats.get(peer);
      boolean unchanged =
          last != null
              && last.mark == mark
              && nowNanos - last.sentNanos < FULL_RESEND_INTERVAL_NANOS;
      if (unchanged) {
        peers.send(peer, alive);
      } else if (peers.send(peer, heartbeat)) {
        sentHeartbeats.put(peer, new Sent(mark, nowNanos));
      }
    }
  }

  private void sendDigests(long nowNanos) {
    DomainDigest ownDigest = membership.ownDigest(ownHeartbeat.get(), nowNanos);
    List<DomainDigest> others = membership.liveDigests(nowNanos);
    Set<String> liveInOwnDomain = liveInOwnDomain(nowNanos);
    boolean marksDue = due(lastMarksNanos, DIGEST_MARKS_INTERVAL_NANOS, nowNanos);
    lastMarksNanos = marksDue ? nowNanos : lastMarksNanos;
    for (String peer : linkedPeers) {
      List<DomainDigest> digests = liveInOwnDomain.contains(peer) ? others : List.of(ownDigest);
      List<DigestMark> unchangedMarks = new ArrayList<>();
      for (DomainDigest digest : digests) {
        if (!sendIfChanged(peer, digest, nowNanos)) {
          unchangedMarks.add(new DigestMark(digest.failureDomain(), digest.mark()));
        }
      }
      if (marksDue && !unchangedMarks.isEmpty()) {
        peers.send(peer, new DomainsAlive(unchangedMarks));
      }
    }
  }

  private boolean sendIfChanged(String peer, DomainDigest digest, long nowNanos) {
    String key = peer + "/" + digest.failureDomain();
    Sent last = sentDigests.get(key);
    if (last != null
        && last.mark == digest.mark()
        && nowNanos - last.sentNanos < FULL_RESEND_INTERVAL_NANOS) {
      return false;
    }
    if (peers.send(peer, digest)) {
      sentDigests.put(key, new Sent(digest.mark(), nowNanos));
    }
    return true;
  }

  /** Returns the live instances of the own domain, including this one. */
  private Set<String> liveInOwnDomain(long nowNanos) {
    Set<String> liveInOwnDomain = new TreeSet<>(List.of(self));
    for (Heartbeat peer : membership.livePeersInDomain(nowNanos)) {
      liveInOwnDomain.add(peer.instance());
    }
    return liveInOwnDomain;
  }

  private static List<String> relaysOf(String domain, Collection<String> instances) {
    List<String> ranked = Rendezvous.rank(domain, instances);
    return ranked.subList(0, Math.min(RELAYS_PER_DOMAIN, ranked.size()));
  }

  /** Sets the links to keep: the own domain, the seeds and, on a relay, other domains' relays. */
  private void updateLinks() {
    Map<String, String> addresses = new HashMap<>();
    SortedMap<String, Set<String>> domains = new TreeMap<>();
    for (Heartbeat peer : livePeers) {
      addresses.put(peer.instance(), peer.peerAddress());
      domains.computeIfAbsent(peer.failureDomain(), name -> new TreeSet<>()).add(peer.instance());
    }
    for (ListedMachine machine : listedInstances.values()) {
      addresses.put(machine.id(), machine.address());
      // A domain whose relays are not known yet is reached through the platform's list.
      domains.computeIfAbsent(machine.failureDomain(), name -> new TreeSet<>()).add(machine.id());
    }
    addresses.putAll(seeds);
    addresses.remove(self);
    Set<String> peersToLink = new HashSet<>(seeds.keySet());
    domains.forEach(
        (domain, instances) -> {
          if (domain.equals(failureDomain)) {
            peersToLink.addAll(instances);
          } else if (relay) {
            peersToLink.addAll(relaysOf(domain, instances));
          }
        });
    peersToLink.remove(self);
    linkedPeers = peersToLink;
    peers.setPeers(addresses, peersToLink);
  }
}
