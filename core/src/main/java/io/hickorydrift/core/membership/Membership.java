package io.hickorydrift.core.membership;

import io.hickorydrift.core.message.Heartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Peers by their latest heartbeat. A peer is live while heartbeats come; nothing else depends on
 * this than whom to ask first, so a wrong guess costs time but never safety.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class Membership {
  private record Heard(Heartbeat heartbeat, long atNanos) {}

  private final long liveNanos;
  private final SortedMap<String, Heard> heard = new TreeMap<>();

  /** Counts a peer as live for {@code liveNanos} after its last heartbeat. */
  public Membership(long liveNanos) {
    this.liveNanos = liveNanos;
  }

  /** Takes in a heartbeat. */
  public void heard(Heartbeat heartbeat, long nowNanos) {
    heard.put(heartbeat.instance(), new Heard(heartbeat, nowNanos));
  }

  /** Forgets peers that have been silent for {@code forgetNanos}. */
  public void forget(long forgetNanos, long nowNanos) {
    heard.values().removeIf(peer -> nowNanos - peer.atNanos > forgetNanos);
  }

  /** Returns the live peers in order of their names, with those that are leaving. */
  public List<Heartbeat> live(long nowNanos) {
    List<Heartbeat> live = new ArrayList<>();
    for (Heard peer : heard.values()) {
      if (nowNanos - peer.atNanos <= liveNanos) {
        live.add(peer.heartbeat);
      }
    }
    return live;
  }

  /** Returns the live holders of slots that are not leaving, by slot. */
  public Map<Integer, String> slotHolders(long nowNanos) {
    Map<Integer, String> holders = new HashMap<>();
    for (Heartbeat peer : live(nowNanos)) {
      if (peer.slot() >= 0 && !peer.leaving()) {
        holders.put((int) peer.slot(), peer.instance());
      }
    }
    return holders;
  }

  /** Returns the latest heartbeat of {@code instance} if it is live, else null. */
  public Heartbeat livePeer(String instance, long nowNanos) {
    Heard peer = heard.get(instance);
    return peer == null || nowNanos - peer.atNanos > liveNanos ? null : peer.heartbeat;
  }
}
