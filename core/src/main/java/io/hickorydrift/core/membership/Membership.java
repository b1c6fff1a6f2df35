package io.hickorydrift.core.membership;

import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.DigestMark;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.Heartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Which instances are live: those of the own failure domain by their own heartbeats, those of other
 * domains by the digests that relays pass on. A heartbeat heard directly goes before a digest.
 *
 * <p>Nothing but whom to ask first depends on this, so a wrong guess costs time but never safety.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class Membership {
  private record Heard(Heartbeat heartbeat, long atNanos) {}

  private record Digest(DomainDigest content, long atNanos) {}

  private final String self;
  private final String failureDomain;
  private final long liveNanos;
  private final long digestNanos;
  private final SortedMap<String, Heard> heard = new TreeMap<>();
  private final SortedMap<String, Digest> digests = new TreeMap<>();

  /**
   * Membership as {@code self} sees it.
   *
   * @param liveNanos how long a heartbeat counts
   * @param digestNanos how long a digest counts
   */
  public Membership(String self, String failureDomain, long liveNanos, long digestNanos) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.liveNanos = liveNanos;
    this.digestNanos = digestNanos;
  }

  /** Takes in a heartbeat from the instance that it is of. */
  public void onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    if (!heartbeat.instance().equals(self)) {
      heard.put(heartbeat.instance(), new Heard(heartbeat, nowNanos));
    }
  }

  /** The last heartbeat of {@code peer} still holds; nothing happens if there was none. */
  public void onAlive(String peer, Alive alive, long nowNanos) {
    Heard known = heard.get(peer);
    if (known != null) {
      heard.put(peer, new Heard(at(known.heartbeat, alive.configEntry()), nowNanos));
    }
  }

  /** Takes in another domain's digest. */
  public void onDigest(DomainDigest digest, long nowNanos) {
    if (!digest.failureDomain().equals(failureDomain)) {
      digests.put(digest.failureDomain(), new Digest(digest, nowNanos));
    }
  }

  /** Digests with these marks still hold; others are waited for. */
  public void renewDigests(List<DigestMark> marks, long nowNanos) {
    for (DigestMark mark : marks) {
      Digest known = digests.get(mark.failureDomain());
      if (known != null && known.content.mark() == mark.mark()) {
        digests.put(mark.failureDomain(), new Digest(known.content, nowNanos));
      }
    }
  }

  /** Forgets peers and digests that have been silent for {@code forgetNanos}. */
  public void removeStale(long forgetNanos, long nowNanos) {
    heard.values().removeIf(peer -> nowNanos - peer.atNanos > forgetNanos);
    digests.values().removeIf(digest -> nowNanos - digest.atNanos > forgetNanos);
  }

  /** Returns the live peers in order of their names, with those that are leaving. */
  public List<Heartbeat> livePeers(long nowNanos) {
    SortedMap<String, Heartbeat> live = new TreeMap<>();
    for (DomainDigest digest : liveDigests(nowNanos)) {
      for (Heartbeat member : digest.members()) {
        live.put(member.instance(), member);
      }
    }
    for (Heard peer : heard.values()) {
      if (nowNanos - peer.atNanos <= liveNanos) {
        live.put(peer.heartbeat.instance(), peer.heartbeat);
      } else if (!digestIsNewer(peer)) {
        live.remove(peer.heartbeat.instance());
      }
    }
    live.remove(self);
    return new ArrayList<>(live.values());
  }

  /** Returns whether the peer's domain has vouched for it since it fell silent here. */
  private boolean digestIsNewer(Heard peer) {
    Digest digest = digests.get(peer.heartbeat.failureDomain());
    return digest != null && digest.atNanos - peer.atNanos > liveNanos;
  }

  /** Returns the live peers of the own failure domain, by their own heartbeats. */
  public List<Heartbeat> livePeersInDomain(long nowNanos) {
    List<Heartbeat> near = new ArrayList<>();
    for (Heard peer : heard.values()) {
      boolean inDomain = peer.heartbeat.failureDomain().equals(failureDomain);
      if (inDomain && nowNanos - peer.atNanos <= liveNanos) {
        near.add(peer.heartbeat);
      }
    }
    return near;
  }

  /** Returns the live holders of slots that are not leaving, by slot. */
  public Map<Integer, String> slotHolders(long nowNanos) {
    return slotHolders(livePeers(nowNanos));
  }

  /** Returns the holders of slots among {@code peers} that are not leaving, by slot. */
  public static Map<Integer, String> slotHolders(List<Heartbeat> peers) {
    Map<Integer, String> holders = new HashMap<>();
    for (Heartbeat peer : peers) {
      if (peer.slot() >= 0 && !peer.leaving()) {
        holders.put((int) peer.slot(), peer.instance());
      }
    }
    return holders;
  }

  /** Returns the digest of the own domain, with {@code own} for this instance. */
  public DomainDigest ownDigest(Heartbeat own, long nowNanos) {
    SortedMap<String, Heartbeat> members = new TreeMap<>();
    members.put(self, own);
    for (Heartbeat peer : livePeersInDomain(nowNanos)) {
      members.put(peer.instance(), peer);
    }
    List<Heartbeat> listed = List.copyOf(members.values());
    return new DomainDigest(failureDomain, mark(listed), listed);
  }

  /** Returns the digests of other domains that still count. */
  public List<DomainDigest> liveDigests(long nowNanos) {
    List<DomainDigest> live = new ArrayList<>();
    for (Digest digest : digests.values()) {
      if (nowNanos - digest.atNanos <= digestNanos) {
        live.add(digest.content);
      }
    }
    return live;
  }

  /** Returns a number that changes with all of a heartbeat that others go by for long. */
  public static long mark(Heartbeat heartbeat) {
    return Objects.hash(
        heartbeat.instance(),
        heartbeat.run(),
        heartbeat.failureDomain(),
        heartbeat.peerAddress(),
        heartbeat.slot(),
        heartbeat.leaving());
  }

  private static long mark(List<Heartbeat> members) {
    long mark = 1;
    for (Heartbeat member : members) {
      mark = 31 * mark + mark(member);
    }
    return mark;
  }

  private static Heartbeat at(Heartbeat heartbeat, long configEntry) {
    return new Heartbeat(
        heartbeat.instance(),
        heartbeat.run(),
        heartbeat.failureDomain(),
        heartbeat.peerAddress(),
        heartbeat.slot(),
        heartbeat.leaving(),
        configEntry);
  }
}
