package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * A connection that a peer opened. Passes the peer's requests to a handler and sends the responses.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class InboundPeerLink implements ChannelHandler {
  // Twice the timeout after which the peer itself closes a link without heartbeats.
  private static final long SILENCE_TIMEOUT_NANOS = 5_200_000_000L;

  private final TcpChannel channel;
  private final BiConsumer<InboundPeerLink, PeerMessage> onRequest;
  private final Consumer<InboundPeerLink> onClosed;
  private final EventLoop loop;
  private final PeerTraffic traffic;
  private String peer = "unknown";
  private long lastReceivedNanos;

  InboundPeerLink(
      EventLoop loop,
      PeerTraffic traffic,
      TcpChannel channel,
      BiConsumer<InboundPeerLink, PeerMessage> onRequest,
      Consumer<InboundPeerLink> onClosed) {
    this.loop = loop;
    this.traffic = traffic;
    this.channel = channel;
    this.onClosed = onClosed;
    lastReceivedNanos = loop.nowNanos();
    this.onRequest = onRequest;
  }

  void close() {
    channel.close();
  }

  /**
   * Closes the link if the peer has sent nothing for longer than its heartbeats allow, as after a
   * loss of power; its transactions would hold their connections otherwise.
   */
  void closeIfSilent() {
    if (!channel.isClosed() && loop.nowNanos() - lastReceivedNanos > SILENCE_TIMEOUT_NANOS) {
      Logger.warn("event=peer_silent peer={}", peer);
      channel.close();
      onClosed.accept(this);
    }
  }

  /** Returns the id of the peer, which its first ping carries; "unknown" until then. */
  String peer() {
    return peer;
  }

  /** Returns whether a message with texts of that length can wait to be sent. */
  boolean hasRoomFor(long textLength) {
    return PeerTraffic.hasRoomFor(textLength, channel.unsentBytes());
  }

  void send(PeerMessage message) {
    if (channel.isClosed()) {
      return;
    }
    traffic.write(channel.out(), peer, message);
  }

  @Override
  public int maxMessageBytes() {
    return PeerMessageCodec.MAX_MESSAGE_BYTES;
  }

  @Override
  public void received(ByteBuffer in) {
    lastReceivedNanos = loop.nowNanos();
    try {
      for (PeerMessage message = PeerMessageCodec.read(in);
          message != null && !channel.isClosed();
          message = PeerMessageCodec.read(in)) {
        if (message instanceof PeerMessage.Ping ping) {
          peer = ping.instance();
        }
        onRequest.accept(this, message);
      }
    } catch (IllegalArgumentException e) {
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=peer_message_unreadable peer={} reason=\"{}\"", peer, e.getMessage()));
      channel.close();
      onClosed.accept(this);
    }
  }

  @Override
  public void closed(String reason) {
    Logger.debug("event=peer_closed peer={} reason=\"{}\"", peer, reason);
    onClosed.accept(this);
  }
}
