package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All links of an instance: one to send to a peer, one from each peer that sends.
 *
 * <p>Invariant: sending never blocks. Thread safety: safe.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final long IDLE_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final String self;
  private final TokenMac fleet;
  private final PeerListener listener;
  private final PeerServer server;
  private volatile Map<String, String> addresses = Map.of();
  private final Map<String, OutboundLink> links = new ConcurrentHashMap<>();
  private final AtomicLong messagesSent = new AtomicLong();
  private final AtomicLong bytesSent = new AtomicLong();

  /** Takes {@code address}; links are accepted from {@link #start} on. */
  public PeerNetwork(String self, InetSocketAddress address, TokenMac fleet, PeerListener listener)
      throws IOException {
    this.self = self;
    this.fleet = fleet;
    this.listener = listener;
    server = new PeerServer(self, address, fleet, listener);
  }

  /** Starts to take links from peers. */
  public void start() {
    server.start();
  }

  /** Returns host and port for links from peers. */
  public String address() {
    return server.address();
  }

  /** Keeps links to exactly these peers: addresses by instance. */
  public void setPeers(Map<String, String> kept) {
    setPeers(kept, kept.keySet());
  }

  /**
   * Keeps links to the peers {@code kept}. To others in {@code addressBook} a link is opened when
   * something is sent, and closed after a time without use.
   */
  public void setPeers(Map<String, String> addressBook, Set<String> kept) {
    addresses = Map.copyOf(addressBook);
    long nowNanos = System.nanoTime();
    links
        .entrySet()
        .removeIf(
            link -> {
              boolean wanted =
                  kept.contains(link.getKey()) || link.getValue().usedWithin(IDLE_NANOS, nowNanos);
              boolean moved = !link.getValue().address().equals(addressBook.get(link.getKey()));
              if (!wanted || moved) {
                link.getValue().close();
              }
              return !wanted || moved;
            });
    kept.forEach(this::link);
  }

  private OutboundLink link(String peer) {
    String address = addresses.get(peer);
    return address == null
        ? null
        : links.computeIfAbsent(
            peer,
            name ->
                new OutboundLink(self, name, address, fleet, () -> listener.onLinkClosed(name)));
  }

  /** Sends without waiting; returns false if the link is not up or its ring is full. */
  public boolean send(String peer, Record message) {
    OutboundLink link = link(peer);
    if (link == null || !link.isReady()) {
      return false;
    }
    byte[] payload = MessagePackCodec.encode(message);
    if (!link.offer(payload)) {
      return false;
    }
    messagesSent.incrementAndGet();
    bytesSent.addAndGet(FrameChannel.HEADER_BYTES + payload.length);
    return true;
  }

  /** Returns the peers to which there is a link. */
  public Set<String> linkedPeers() {
    return links.keySet();
  }

  /** Returns whether the link to {@code peer} is up. */
  public boolean isConnected(String peer) {
    OutboundLink link = links.get(peer);
    return link != null && link.isReady();
  }

  /** Closes links that have gone silent. */
  public void closeUnresponsiveLinks(long nowNanos) {
    links.values().forEach(link -> link.closeIfUnresponsive(nowNanos));
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent.get();
  }

  /** Returns the number of bytes sent, frame headers included. */
  public long bytesSent() {
    return bytesSent.get();
  }

  /** Returns how many links were refused or ended for a fault of the peer. */
  public long refusedLinks() {
    return server.refusedLinks();
  }

  @Override
  public void close() {
    links.values().forEach(OutboundLink::close);
    links.clear();
    server.close();
  }
}
