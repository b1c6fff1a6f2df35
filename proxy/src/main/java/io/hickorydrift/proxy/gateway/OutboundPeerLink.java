package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * A connection that this instance opened to a peer. It is closed when nothing is received within
 * the heartbeat timeout, since a connection can fail without a reset, and is then reopened.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OutboundPeerLink implements ChannelHandler {
  private static final long HEARTBEAT_TIMEOUT_NANOS = 900_000_000L;
  private static final long RECONNECT_DELAY_NANOS = 300_000_000L;
  // The home responds within the statement's timeout; the delays of the link are added to it.
  private static final long FORWARD_MARGIN_MS = 300;

  /** Receives the peer's responses. */
  interface Listener {
    /** Handles the pong to a ping that was sent at {@code pingNanos}. */
    void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos);

    /** Handles any other response. */
    void onResponse(OutboundPeerLink link, PeerMessage message);
  }

  private final EventLoop loop;
  private final String self;
  private final String peer;
  private final String address;
  private final Listener listener;
  private final Map<Long, Long> pingSentNanos = new HashMap<>();
  private TcpChannel channel;
  private boolean open;
  private boolean up;
  private final Map<Long, Consumer<StatementOutcome>> pendingForwards = new HashMap<>();
  private long lastCorrelation;
  private long lastTransaction;
  private long lastSequence;
  private long lastOpenOrCloseNanos;
  private long lastReceivedNanos;
  private PeerMessage.Pong lastPong;

  OutboundPeerLink(EventLoop loop, String self, String peer, String address, Listener listener) {
    this.loop = loop;
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.listener = listener;
    connect();
  }

  String peer() {
    return peer;
  }

  String address() {
    return address;
  }

  /**
   * Returns whether the peer has answered a ping and has sent data within the heartbeat timeout.
   */
  boolean isUp() {
    return up && loop.nowNanos() - lastReceivedNanos < HEARTBEAT_TIMEOUT_NANOS;
  }

  /** Returns the last pong, or null if there was none. */
  PeerMessage.Pong lastPong() {
    return lastPong;
  }

  private void connect() {
    open = false;
    up = false;
    lastOpenOrCloseNanos = loop.nowNanos();
    lastReceivedNanos = lastOpenOrCloseNanos;
    pingSentNanos.clear();
    channel = TcpChannel.connect(loop, address, this);
  }

  /** Returns an unused number for a transaction on this link. */
  long nextTransactionNumber() {
    return ++lastTransaction;
  }

  /**
   * Sends a statement to the peer and returns whether it was sent. If so, {@code onOutcome}
   * receives its outcome, or null if the link closes or the timeout expires first.
   */
  boolean forward(
      PeerMessage.Forward forward, long timeoutMs, Consumer<StatementOutcome> onOutcome) {
    long correlation = ++lastCorrelation;
    boolean sent =
        send(
            new PeerMessage.Forward(
                correlation,
                forward.transaction(),
                forward.readOnly(),
                forward.organisation(),
                forward.route(),
                forward.statement(),
                forward.preparedStatement(),
                forward.values(),
                forward.lastCommit(),
                forward.counted()));
    if (!sent) {
      return false;
    }
    EventLoop.Timer timer =
        loop.after(timeoutMs + FORWARD_MARGIN_MS, () -> complete(correlation, null));
    pendingForwards.put(
        correlation,
        outcome -> {
          timer.cancel();
          onOutcome.accept(outcome);
        });
    return true;
  }

  private void complete(long correlation, StatementOutcome outcome) {
    Consumer<StatementOutcome> onOutcome = pendingForwards.remove(correlation);
    if (onOutcome != null) {
      onOutcome.accept(outcome);
    }
  }

  private void failPendingForwards() {
    for (Long correlation : List.copyOf(pendingForwards.keySet())) {
      complete(correlation, null);
    }
  }

  /** Sends a message if the link is open, and returns whether it was sent. */
  boolean send(PeerMessage message) {
    if (!open || channel.isClosed()) {
      return false;
    }
    PeerMessageCodec.write(channel.out(), message);
    return true;
  }

  /** Sends the next ping; closes a link whose heartbeat timed out, and reopens a closed one. */
  void ping() {
    long nowNanos = loop.nowNanos();
    if (channel.isClosed()) {
      if (nowNanos - lastOpenOrCloseNanos > RECONNECT_DELAY_NANOS) {
        connect();
      }
      return;
    }
    if (nowNanos - lastReceivedNanos > HEARTBEAT_TIMEOUT_NANOS) {
      channel.close();
      closed("heartbeat timeout");
      return;
    }
    pingSentNanos.put(++lastSequence, nowNanos);
    send(new PeerMessage.Ping(self, lastSequence));
  }

  void close() {
    channel.close();
    failPendingForwards();
  }

  @Override
  public void connected() {
    open = true;
    ping();
  }

  @Override
  public void received(ByteBuffer in) {
    lastReceivedNanos = loop.nowNanos();
    try {
      for (PeerMessage message = PeerMessageCodec.read(in);
          message != null;
          message = PeerMessageCodec.read(in)) {
        handle(message);
      }
    } catch (IllegalArgumentException e) {
      channel.close();
      closed(e.getMessage());
    }
  }

  private void handle(PeerMessage message) {
    if (message instanceof PeerMessage.Result result) {
      complete(result.correlation(), result.outcome());
      return;
    }
    if (!(message instanceof PeerMessage.Pong pong)) {
      listener.onResponse(this, message);
      return;
    }
    Long pingNanos = pingSentNanos.remove(pong.sequence());
    if (pingNanos == null) {
      return;
    }
    if (!up) {
      up = true;
      Logger.info("event=peer_up peer={}", peer);
    }
    lastPong = pong;
    listener.onPong(this, pong, pingNanos);
  }

  @Override
  public void closed(String reason) {
    open = false;
    if (up) {
      long silentMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - lastReceivedNanos);
      Logger.warn("event=peer_lost peer={} reason=\"{}\" silent_ms={}", peer, reason, silentMs);
    }
    up = false;
    lastOpenOrCloseNanos = loop.nowNanos();
    failPendingForwards();
  }
}
