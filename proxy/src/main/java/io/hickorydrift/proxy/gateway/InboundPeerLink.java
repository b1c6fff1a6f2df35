package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.ChannelHandler;
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
  private final TcpChannel channel;
  private final BiConsumer<InboundPeerLink, PeerMessage> onRequest;
  private final Consumer<InboundPeerLink> onClosed;
  private String peer = "unknown";

  InboundPeerLink(
      TcpChannel channel,
      BiConsumer<InboundPeerLink, PeerMessage> onRequest,
      Consumer<InboundPeerLink> onClosed) {
    this.channel = channel;
    this.onClosed = onClosed;
    this.onRequest = onRequest;
  }

  void close() {
    channel.close();
  }

  /** Returns the id of the peer, which its first ping carries; "unknown" until then. */
  String peer() {
    return peer;
  }

  void send(PeerMessage message) {
    if (channel.isClosed()) {
      return;
    }
    PeerMessageCodec.write(channel.out(), message);
  }

  @Override
  public void received(ByteBuffer in) {
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
      Logger.warn("event=peer_message_unreadable peer={} reason=\"{}\"", peer, e.getMessage());
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
