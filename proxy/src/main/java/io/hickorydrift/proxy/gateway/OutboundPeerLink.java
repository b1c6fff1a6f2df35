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
 * The link that this instance opened to a peer. A ping that gets no answer in time ends it, since a
 * connection can go silent without a reset; then it is opened anew.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OutboundPeerLink implements ChannelHandler {
  private static final long SILENCE_NANOS = 900_000_000L;
  private static final long REOPEN_NANOS = 300_000_000L;
  // The home answers within the statement's time; the link's own delays come on top.
  private static final long FORWARD_MARGIN_MS = 300;

  /** Takes what the peer answers. */
  interface Listener {
    /** A pong to a ping that was sent at {@code pingNanos}. */
    void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos);

    /** Another answer. */
    void onResponse(OutboundPeerLink link, PeerMessage message);
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
  private final Map<Long, Consumer<StatementOutcome>> forwarded = new HashMap<>();
  private long correlations;
  private long transactions;
  private long sequence;
  private long openedNanos;
  private long heardNanos;
  private PeerMessage.Pong lastPong;

  OutboundPeerLink(EventLoop loop, String self, String peer, String address, Listener listener) {
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
  boolean isUp() {
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

  /** Returns a number for a transaction over this link. */
  long nextTransactionNumber() {
    return ++transactions;
  }

  /**
   * Sends a statement to the peer and returns whether it was sent. If so, {@code onOutcome} gets
   * its outcome, or null if none comes before the link ends or the time is over.
   */
  boolean forward(
      PeerMessage.Forward forward, long timeoutMs, Consumer<StatementOutcome> onOutcome) {
    long correlation = ++correlations;
    boolean sent =
        send(
            new PeerMessage.Forward(
                correlation,
                forward.transaction(),
                forward.readOnly(),
                forward.organisation(),
                forward.route(),
                forward.statement(),
                forward.shape(),
                forward.values(),
                forward.ownCommit(),
                forward.counted()));
    if (!sent) {
      return false;
    }
    EventLoop.Timer timer =
        loop.after(timeoutMs + FORWARD_MARGIN_MS, () -> settle(correlation, null));
    forwarded.put(
        correlation,
        outcome -> {
          timer.cancel();
          onOutcome.accept(outcome);
        });
    return true;
  }

  private void settle(long correlation, StatementOutcome outcome) {
    Consumer<StatementOutcome> listener = forwarded.remove(correlation);
    if (listener != null) {
      listener.accept(outcome);
    }
  }

  private void loseForwarded() {
    for (Long correlation : List.copyOf(forwarded.keySet())) {
      settle(correlation, null);
    }
  }

  /** Sends a message if the link is open. */
  boolean send(PeerMessage message) {
    if (!open || channel.isClosed()) {
      return false;
    }
    PeerMessageCodec.write(channel.out(), message);
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
    loseForwarded();
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
      for (PeerMessage message = PeerMessageCodec.read(in);
          message != null;
          message = PeerMessageCodec.read(in)) {
        take(message);
      }
    } catch (IllegalArgumentException e) {
      channel.close();
      closed(e.getMessage());
    }
  }

  private void take(PeerMessage message) {
    if (message instanceof PeerMessage.Result result) {
      settle(result.correlation(), result.outcome());
      return;
    }
    if (!(message instanceof PeerMessage.Pong pong)) {
      listener.onResponse(this, message);
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
    listener.onPong(this, pong, pingNanos);
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
    loseForwarded();
  }
}
