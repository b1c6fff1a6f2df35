package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All links of an instance: one to each peer to send, one from each peer to receive.
 *
 * <p>Invariant: sending never blocks. Thread safety: safe.
 */
public final class PeerNetwork implements AutoCloseable {
  private final String self;
  private final TokenMac fleet;
  private final PeerListener listener;
  private final PeerServer server;
  private final Map<String, OutboundLink> links = new ConcurrentHashMap<>();
  private final AtomicLong messagesSent = new AtomicLong();
  private final AtomicLong bytesSent = new AtomicLong();

  /** Listens on {@code address}. */
  public PeerNetwork(String self, InetSocketAddress address, TokenMac fleet, PeerListener listener)
      throws IOException {
    this.self = self;
    this.fleet = fleet;
    this.listener = listener;
    server = new PeerServer(self, address, fleet, listener);
  }

  /** Returns host and port for links from peers. */
  public String address() {
    return server.address();
  }

  /** Keeps links to exactly these peers: addresses by instance. */
  public void setPeers(Map<String, String> addresses) {
    for (Map.Entry<String, OutboundLink> link : links.entrySet()) {
      String wanted = addresses.get(link.getKey());
      if (!link.getValue().address().equals(wanted)) {
        link.getValue().close();
        links.remove(link.getKey());
      }
    }
    addresses.forEach(
        (peer, address) ->
            links.computeIfAbsent(
                peer,
                name -> new OutboundLink(self, name, address, fleet, () -> listener.lost(name))));
  }

  /** Sends without waiting; returns false if the link is down or its ring is full. */
  public boolean send(String peer, Record message) {
    OutboundLink link = links.get(peer);
    if (link == null || !link.ready()) {
      return false;
    }
    byte[] payload = PeerCodec.encode(message);
    if (!link.offer(payload)) {
      return false;
    }
    messagesSent.incrementAndGet();
    bytesSent.addAndGet(payload.length);
    return true;
  }

  /** Returns the peers to which links are kept. */
  public Set<String> peers() {
    return links.keySet();
  }

  /** Returns whether the link to {@code peer} is up. */
  public boolean connected(String peer) {
    OutboundLink link = links.get(peer);
    return link != null && link.ready();
  }

  /** Closes links that have gone silent. */
  public void closeSilent(long nowNanos) {
    links.values().forEach(link -> link.closeIfSilent(nowNanos));
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent.get();
  }

  /** Returns the number of payload bytes sent. */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Returns how many links were refused or ended for a fault of the peer. */
  public long refused() {
    return server.refused();
  }

  @Override
  public void close() {
    links.values().forEach(OutboundLink::close);
    links.clear();
    server.close();
  }
}
