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
 * Manages an instance's links: one outbound link for each peer that it sends to, and one inbound
 * link from each peer that sends to it.
 *
 * <p>Invariant: sending never blocks. Thread safety: safe.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final long IDLE_LINK_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final String self;
  private final TokenMac fleetMac;
  private final PeerListener listener;
  private final PeerServer server;
  private volatile Map<String, String> addresses = Map.of();
  private final Map<String, OutboundLink> links = new ConcurrentHashMap<>();
  private final AtomicLong messagesSent = new AtomicLong();
  private final AtomicLong bytesSent = new AtomicLong();

  /** Binds {@code address}; links are accepted after {@link #start}. */
  public PeerNetwork(
      String self, InetSocketAddress address, TokenMac fleetMac, PeerListener listener)
      throws IOException {
    this.self = self;
    this.fleetMac = fleetMac;
    this.listener = listener;
    server = new PeerServer(self, address, fleetMac, listener);
  }

  /** Starts to accept links from peers. */
  public void start() {
    server.start();
  }

  /** Returns the host and port at which links from peers are accepted. */
  public String address() {
    return server.address();
  }

  /** Keeps links to exactly these peers: addresses by instance. */
  public void setPeers(Map<String, String> permanent) {
    setPeers(permanent, permanent.keySet());
  }

  /**
   * Keeps links to the peers {@code permanent} open. A link to another peer in {@code
   * peerAddresses} is opened when a message is sent to it, and closed after an idle timeout.
   */
  public void setPeers(Map<String, String> peerAddresses, Set<String> permanent) {
    addresses = Map.copyOf(peerAddresses);
    long nowNanos = System.nanoTime();
    links
        .entrySet()
        .removeIf(
            link -> {
              boolean needed =
                  permanent.contains(link.getKey())
                      || link.getValue().usedWithin(IDLE_LINK_TIMEOUT_NANOS, nowNanos);
              boolean addressChanged =
                  !link.getValue().address().equals(peerAddresses.get(link.getKey()));
              if (!needed || addressChanged) {
                link.getValue().close();
              }
              return !needed || addressChanged;
            });
    permanent.forEach(this::openLink);
  }

  private OutboundLink openLink(String peer) {
    String address = addresses.get(peer);
    return address == null
        ? null
        : links.computeIfAbsent(
            peer,
            name ->
                new OutboundLink(self, name, address, fleetMac, () -> listener.onLinkClosed(name)));
  }

  /** Sends without blocking; returns false if the link is not connected or its queue is full. */
  public boolean send(String peer, Record message) {
    OutboundLink link = openLink(peer);
    if (link == null || !link.isConnected()) {
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

  /** Returns the peers that have an outbound link, connected or not. */
  public Set<String> linkedPeers() {
    return links.keySet();
  }

  /** Returns whether the link to {@code peer} is connected. */
  public boolean isConnected(String peer) {
    OutboundLink link = links.get(peer);
    return link != null && link.isConnected();
  }

  /** Closes the links whose acknowledgements are overdue. */
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

  /**
   * Returns the number of inbound links refused or closed because of a failed handshake or an
   * invalid frame.
   */
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
