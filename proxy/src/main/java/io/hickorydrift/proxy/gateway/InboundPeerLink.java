package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * A link that a peer opened: takes its questions.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class InboundPeerLink implements ChannelHandler {
  private final TcpChannel channel;
  private final BiConsumer<InboundPeerLink, PeerMessage> onQuestion;
  private final Consumer<InboundPeerLink> onLost;
  private String peer = "unknown";

  InboundPeerLink(
      TcpChannel channel,
      BiConsumer<InboundPeerLink, PeerMessage> onQuestion,
      Consumer<InboundPeerLink> onLost) {
    this.channel = channel;
    this.onLost = onLost;
    this.onQuestion = onQuestion;
  }

  void close() {
    channel.close();
  }

  /** Returns the peer, known after its first ping. */
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
        onQuestion.accept(this, message);
      }
    } catch (IllegalArgumentException e) {
      Logger.warn("event=peer_unreadable peer={} reason=\"{}\"", peer, e.getMessage());
      channel.close();
      onLost.accept(this);
    }
  }

  @Override
  public void closed(String reason) {
    Logger.debug("event=peer_closed peer={} reason=\"{}\"", peer, reason);
    onLost.accept(this);
  }
}
