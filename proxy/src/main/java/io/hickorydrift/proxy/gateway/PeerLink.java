package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The link that this instance opened to a peer. A ping that gets no answer in time ends it, since a
 * connection can go silent without a reset; then it is opened anew.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PeerLink implements ChannelHandler {
  private static final long SILENCE_NANOS = 900_000_000L;
  private static final long REOPEN_NANOS = 300_000_000L;

  /** Takes what the peer answers. */
  interface Listener {
    /** A pong to a ping that was sent at {@code pingNanos}. */
    void pong(PeerLink link, PeerMessage.Pong pong, long pingNanos);

    /** Another answer. */
    void answered(PeerLink link, PeerMessage message);
  }

  private final EventLoop loop;
  private final String self;
  private final String peer;
  private final String address;
  private final Listener listener;
  private final Map<Long, Long> pings = new HashMap<>();
  private TcpChannel channel;
  private boolean open;
  private boolean up;
  private long sequence;
  private long openedNanos;
  private long heardNanos;
  private PeerMessage.Pong lastPong;

  PeerLink(EventLoop loop, String self, String peer, String address, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.listener = listener;
    openAnew();
  }

  String peer() {
    return peer;
  }

  String address() {
    return address;
  }

  /** Returns whether the peer answered lately. */
  boolean up() {
    return up && loop.nowNanos() - heardNanos < SILENCE_NANOS;
  }

  /** Returns the last pong, or null. */
  PeerMessage.Pong lastPong() {
    return lastPong;
  }

  private void openAnew() {
    open = false;
    up = false;
    openedNanos = loop.nowNanos();
    heardNanos = openedNanos;
    pings.clear();
    channel = TcpChannel.connect(loop, address, this);
  }

  /** Sends a message if the link is open. */
  boolean send(PeerMessage message) {
    if (!open || channel.isClosed()) {
      return false;
    }
    PeerCodec.write(channel.out(), message);
    return true;
  }

  /** Sends the next ping; ends a link that is silent. */
  void ping() {
    long nowNanos = loop.nowNanos();
    if (channel.isClosed()) {
      if (nowNanos - openedNanos > REOPEN_NANOS) {
        openAnew();
      }
      return;
    }
    if (nowNanos - heardNanos > SILENCE_NANOS) {
      channel.close();
      closed("silent");
      return;
    }
    pings.put(++sequence, nowNanos);
    send(new PeerMessage.Ping(self, sequence));
  }

  void close() {
    channel.close();
  }

  @Override
  public void connected() {
    open = true;
    ping();
  }

  @Override
  public void received(ByteBuffer in) {
    heardNanos = loop.nowNanos();
    try {
      for (PeerMessage message = PeerCodec.take(in);
          message != null;
          message = PeerCodec.take(in)) {
        take(message);
      }
    } catch (IllegalArgumentException e) {
      channel.close();
      closed(e.getMessage());
    }
  }

  private void take(PeerMessage message) {
    if (!(message instanceof PeerMessage.Pong pong)) {
      listener.answered(this, message);
      return;
    }
    Long pingNanos = pings.remove(pong.sequence());
    if (pingNanos == null) {
      return;
    }
    if (!up) {
      up = true;
      Logger.info("event=peer_up peer={}", peer);
    }
    lastPong = pong;
    listener.pong(this, pong, pingNanos);
  }

  @Override
  public void closed(String reason) {
    open = false;
    if (up) {
      long silentMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - heardNanos);
      Logger.warn("event=peer_lost peer={} reason=\"{}\" silent_ms={}", peer, reason, silentMs);
    }
    up = false;
    openedNanos = loop.nowNanos();
  }
}
