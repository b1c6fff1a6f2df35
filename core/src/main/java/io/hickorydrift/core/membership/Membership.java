package io.hickorydrift.core.membership;

import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.DigestMark;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.Heartbeat;
import io.hickorydrift.core.placement.TextHash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks which instances are live: instances of the own failure domain by their heartbeats,
 * instances of other domains by the digests that relays forward. A heartbeat that was received
 * directly takes precedence over a digest.
 *
 * <p>Only the order in which peers are contacted depends on the result, so a wrong one costs time
 * but never safety.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class Membership {
  private record ReceivedHeartbeat(Heartbeat heartbeat, long atNanos) {}

  private record ReceivedDigest(DomainDigest content, long atNanos) {}

  private final String self;
  private final String failureDomain;
  private final long heartbeatValidityNanos;
  private final long digestValidityNanos;
  private final SortedMap<String, ReceivedHeartbeat> heartbeats = new TreeMap<>();
  private final SortedMap<String, ReceivedDigest> digests = new TreeMap<>();

  /**
   * Creates the membership view of the instance {@code self}.
   *
   * @param heartbeatValidityNanos time for which a heartbeat is valid
   * @param digestValidityNanos time for which a digest is valid
   */
  public Membership(
      String self, String failureDomain, long heartbeatValidityNanos, long digestValidityNanos) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.heartbeatValidityNanos = heartbeatValidityNanos;
    this.digestValidityNanos = digestValidityNanos;
  }

  /** Records a heartbeat that was received directly from its instance. */
  public void onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    if (!heartbeat.instance().equals(self)) {
      heartbeats.put(heartbeat.instance(), new ReceivedHeartbeat(heartbeat, nowNanos));
    }
  }

  /** Renews the last heartbeat of {@code peer}; does nothing if there was none. */
  public void onAlive(String peer, Alive alive, long nowNanos) {
    ReceivedHeartbeat previous = heartbeats.get(peer);
    if (previous != null) {
      heartbeats.put(
          peer,
          new ReceivedHeartbeat(
              withConfigEntry(previous.heartbeat, alive.configEntry()), nowNanos));
    }
  }

  /** Records the digest of another failure domain. */
  public void onDigest(DomainDigest digest, long nowNanos) {
    if (!digest.failureDomain().equals(failureDomain)) {
      digests.put(digest.failureDomain(), new ReceivedDigest(digest, nowNanos));
    }
  }

  /** Renews the digests with these marks; a digest with another mark has to be received first. */
  public void renewDigests(List<DigestMark> marks, long nowNanos) {
    for (DigestMark mark : marks) {
      ReceivedDigest previous = digests.get(mark.failureDomain());
      if (previous != null && previous.content.mark() == mark.mark()) {
        digests.put(mark.failureDomain(), new ReceivedDigest(previous.content, nowNanos));
      }
    }
  }

  /** Removes heartbeats and digests that were not renewed for {@code maxAgeNanos}. */
  public void removeStale(long maxAgeNanos, long nowNanos) {
    heartbeats.values().removeIf(peer -> nowNanos - peer.atNanos > maxAgeNanos);
    digests.values().removeIf(digest -> nowNanos - digest.atNanos > maxAgeNanos);
  }

  /** Returns the live peers in order of their names, including those that are leaving. */
  public List<Heartbeat> livePeers(long nowNanos) {
    SortedMap<String, Heartbeat> live = new TreeMap<>();
    for (DomainDigest digest : liveDigests(nowNanos)) {
      for (Heartbeat member : digest.members()) {
        live.put(member.instance(), member);
      }
    }
    for (ReceivedHeartbeat peer : heartbeats.values()) {
      if (nowNanos - peer.atNanos <= heartbeatValidityNanos) {
        live.put(peer.heartbeat.instance(), peer.heartbeat);
      } else if (!digestRenewedAfterExpiry(peer)) {
        live.remove(peer.heartbeat.instance());
      }
    }
    live.remove(self);
    return new ArrayList<>(live.values());
  }

  /** Returns whether the domain's digest was renewed after the peer's heartbeat had expired. */
  private boolean digestRenewedAfterExpiry(ReceivedHeartbeat peer) {
    ReceivedDigest digest = digests.get(peer.heartbeat.failureDomain());
    return digest != null && digest.atNanos - peer.atNanos > heartbeatValidityNanos;
  }

  /** Returns the live peers of the own failure domain, by their heartbeats. */
  public List<Heartbeat> livePeersInDomain(long nowNanos) {
    List<Heartbeat> domainPeers = new ArrayList<>();
    for (ReceivedHeartbeat peer : heartbeats.values()) {
      boolean inDomain = peer.heartbeat.failureDomain().equals(failureDomain);
      if (inDomain && nowNanos - peer.atNanos <= heartbeatValidityNanos) {
        domainPeers.add(peer.heartbeat);
      }
    }
    return domainPeers;
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

  /**
   * Returns the digest of the own failure domain, with {@code own} as this instance's heartbeat.
   */
  public DomainDigest ownDigest(Heartbeat own, long nowNanos) {
    SortedMap<String, Heartbeat> members = new TreeMap<>();
    members.put(self, own);
    for (Heartbeat peer : livePeersInDomain(nowNanos)) {
      members.put(peer.instance(), peer);
    }
    List<Heartbeat> listed = List.copyOf(members.values());
    return new DomainDigest(failureDomain, mark(listed), listed);
  }

  /** Returns the valid digests of other failure domains. */
  public List<DomainDigest> liveDigests(long nowNanos) {
    List<DomainDigest> live = new ArrayList<>();
    for (ReceivedDigest digest : digests.values()) {
      if (nowNanos - digest.atNanos <= digestValidityNanos) {
        live.add(digest.content);
      }
    }
    return live;
  }

  /**
   * Returns a hash of the heartbeat's fields except the configuration entry. {@code Objects.hash}
   * does not distinguish slot 0 from none (-1), so that peers were not told of a new slot 0.
   */
  public static long mark(Heartbeat heartbeat) {
    return TextHash.of(
        String.join(
            "\n",
            heartbeat.instance(),
            heartbeat.run(),
            heartbeat.failureDomain(),
            heartbeat.peerAddress(),
            Long.toString(heartbeat.slot()),
            Boolean.toString(heartbeat.leaving())));
  }

  private static long mark(List<Heartbeat> members) {
    long mark = 1;
    for (Heartbeat member : members) {
      mark = 31 * mark + mark(member);
    }
    return mark;
  }

  private static Heartbeat withConfigEntry(Heartbeat heartbeat, long configEntry) {
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
