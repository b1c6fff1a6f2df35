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
 * Keeps membership: heartbeats within the own failure domain and between relays, and digests of
 * whole domains between relays and from them to their own domain. Links are kept for these; others
 * are opened when something is sent.
 *
 * <p>Invariant: what an instance sends on its own grows with its domain and the number of domains,
 * not with the fleet.
 *
 * <p>Thread safety: confined to the control duty.
 */
final class MembershipService {
  private static final long HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long FULL_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long DIGEST_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long LIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);
  private static final long DIGEST_LIVE_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final int RELAYS_PER_DOMAIN = 2;

  private record Sent(long mark, long atNanos) {}

  private final String self;
  private final String failureDomain;
  private final Map<String, String> seeds;
  private final PeerNetwork peers;
  private final Supplier<Heartbeat> own;
  private final Membership membership;
  private final Map<String, ListedMachine> listed = new HashMap<>();
  private final Map<String, Sent> sentHeartbeats = new HashMap<>();
  private final Map<String, Sent> sentDigests = new HashMap<>();
  private List<Heartbeat> live = List.of();
  private boolean relay = true;
  private Set<String> linked = Set.of();
  private Sent toldNews;
  private long heartbeatNanos = Long.MIN_VALUE;
  private long marksNanos = Long.MIN_VALUE;

  /** Keeps the membership of {@code self}, whose heartbeat {@code own} makes. */
  MembershipService(
      String self,
      String failureDomain,
      Map<String, String> seeds,
      PeerNetwork peers,
      Supplier<Heartbeat> own) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.seeds = seeds;
    this.peers = peers;
    this.own = own;
    membership = new Membership(self, failureDomain, LIVE_NANOS, DIGEST_LIVE_NANOS);
  }

  /** Returns the peers that were live at the last tick. */
  List<Heartbeat> livePeers() {
    return live;
  }

  /** Returns whether this instance passed news between its domain and the others at that tick. */
  boolean isRelay() {
    return relay;
  }

  void onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    membership.onHeartbeat(heartbeat, nowNanos);
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

  /** The link to {@code peer} broke; it may have forgotten what it was sent. */
  void onLinkClosed(String peer) {
    sentHeartbeats.remove(peer);
    sentDigests.keySet().removeIf(key -> key.startsWith(peer + "/"));
  }

  /** Takes the platform's list of instances. */
  void setListedInstances(Collection<ListedMachine> instances) {
    listed.clear();
    for (ListedMachine instance : instances) {
      listed.put(instance.id(), instance);
    }
  }

  /** Sends {@code news} to the own domain if it is new, or has not been sent for a while. */
  void sendToDomainIfChanged(Record news, long nowNanos) {
    boolean holds =
        toldNews != null
            && toldNews.mark == news.hashCode()
            && !due(toldNews.atNanos, FULL_NANOS, nowNanos);
    if (holds) {
      return;
    }
    toldNews = new Sent(news.hashCode(), nowNanos);
    sendToDomain(news);
  }

  /** Sends {@code news} to all live instances of the own domain. */
  void sendToDomain(Record news) {
    for (String peer : near(System.nanoTime())) {
      peers.send(peer, news);
    }
  }

  /** Sends the next heartbeat at the next tick. */
  void scheduleHeartbeat() {
    heartbeatNanos = Long.MIN_VALUE;
  }

  void tick(long nowNanos) {
    membership.removeStale(FORGET_NANOS, nowNanos);
    live = membership.livePeers(nowNanos);
    relay = relays(failureDomain, near(nowNanos)).contains(self);
    link();
    if (due(heartbeatNanos, HEARTBEAT_NANOS, nowNanos)) {
      heartbeatNanos = nowNanos;
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
    Heartbeat heartbeat = own.get();
    Alive alive = new Alive(heartbeat.configEntry());
    long mark = Membership.mark(heartbeat);
    for (String peer : linked) {
      Sent last = sentHeartbeats.get(peer);
      boolean holds = last != null && last.mark == mark && nowNanos - last.atNanos < FULL_NANOS;
      if (holds) {
        peers.send(peer, alive);
      } else if (peers.send(peer, heartbeat)) {
        sentHeartbeats.put(peer, new Sent(mark, nowNanos));
      }
    }
  }

  private void sendDigests(long nowNanos) {
    DomainDigest ownDigest = membership.ownDigest(own.get(), nowNanos);
    List<DomainDigest> others = membership.liveDigests(nowNanos);
    Set<String> near = near(nowNanos);
    boolean marksDue = due(marksNanos, DIGEST_NANOS, nowNanos);
    marksNanos = marksDue ? nowNanos : marksNanos;
    for (String peer : linked) {
      List<DomainDigest> digests = near.contains(peer) ? others : List.of(ownDigest);
      List<DigestMark> holding = new ArrayList<>();
      for (DomainDigest digest : digests) {
        if (!sendIfNew(peer, digest, nowNanos)) {
          holding.add(new DigestMark(digest.failureDomain(), digest.mark()));
        }
      }
      if (marksDue && !holding.isEmpty()) {
        peers.send(peer, new DomainsAlive(holding));
      }
    }
  }

  private boolean sendIfNew(String peer, DomainDigest digest, long nowNanos) {
    String key = peer + "/" + digest.failureDomain();
    Sent last = sentDigests.get(key);
    if (last != null && last.mark == digest.mark() && nowNanos - last.atNanos < FULL_NANOS) {
      return false;
    }
    if (peers.send(peer, digest)) {
      sentDigests.put(key, new Sent(digest.mark(), nowNanos));
    }
    return true;
  }

  /** Returns the instances of the own domain that are live, this one included. */
  private Set<String> near(long nowNanos) {
    Set<String> near = new TreeSet<>(List.of(self));
    for (Heartbeat peer : membership.livePeersInDomain(nowNanos)) {
      near.add(peer.instance());
    }
    return near;
  }

  private static List<String> relays(String domain, Collection<String> instances) {
    List<String> ranked = Rendezvous.rank(domain, instances);
    return ranked.subList(0, Math.min(RELAYS_PER_DOMAIN, ranked.size()));
  }

  /** Keeps links to the own domain and the seeds, and a relay also to the other domains' relays. */
  private void link() {
    Map<String, String> addresses = new HashMap<>();
    SortedMap<String, Set<String>> domains = new TreeMap<>();
    for (Heartbeat peer : live) {
      addresses.put(peer.instance(), peer.peerAddress());
      domains.computeIfAbsent(peer.failureDomain(), name -> new TreeSet<>()).add(peer.instance());
    }
    for (ListedMachine machine : listed.values()) {
      addresses.put(machine.id(), machine.address());
      // A domain whose relays nobody has heard of yet is reached by the platform's list.
      domains.computeIfAbsent(machine.failureDomain(), name -> new TreeSet<>()).add(machine.id());
    }
    addresses.putAll(seeds);
    addresses.remove(self);
    Set<String> wanted = new HashSet<>(seeds.keySet());
    domains.forEach(
        (domain, instances) -> {
          if (domain.equals(failureDomain)) {
            wanted.addAll(instances);
          } else if (relay) {
            wanted.addAll(relays(domain, instances));
          }
        });
    wanted.remove(self);
    linked = wanted;
    peers.setPeers(addresses, wanted);
  }
}
