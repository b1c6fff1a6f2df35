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
 * A connection that this instance opened to a peer. It is closed when nothing is received within
 * the heartbeat timeout, since a connection can fail without a reset, and is then reopened.
 *
 * <p>A link whose peer's status this instance does not need carries few heartbeats while it is
 * idle. Before a statement is sent over such a link, a ping shows that it still works. A statement
 * that can be lost without harm may be sent together with the ping.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OutboundPeerLink implements ChannelHandler, OutboundForwards.Link {
  // Two lost heartbeats.
  private static final long STATUS_TIMEOUT_NANOS = 900_000_000L;
  private static final long IDLE_PING_INTERVAL_NANOS = 1_500_000_000L;
  private static final long IDLE_TIMEOUT_NANOS = 2_600_000_000L;
  // A statement is sent at once if data was received this recently.
  private static final long RECENT_NANOS = 500_000_000L;
  // Many round trips; a peer that is short of processor time answers a ping within it.
  private static final long PROBE_TIMEOUT_MS = 400;
  private static final long RECONNECT_DELAY_NANOS = 300_000_000L;
  // For how long a peer that was never up is taken to be starting, as after a power loss of all
  // instances, whose entries in the store remain. Several times the spread of such starts.
  private static final long STARTING_NANOS = 4_000_000_000L;
  private static final long STARTING_RETRY_MS = 50;
  // A host without power does not answer at all, and TCP tries again only after 1 s. Above a round
  // trip between regions.
  private static final long STARTING_CONNECT_TIMEOUT_MS = 300;

  /** Receives the peer's responses. */
  interface Listener {
    /** Handles the pong to a ping that was sent at {@code pingNanos}. */
    void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos);

    /** Handles any other response. */
    void onResponse(OutboundPeerLink link, PeerMessage message);
  }

  private final EventLoop loop;
  private final PeerTraffic traffic;
  private final String self;
  private final String peer;
  private final String address;
  private final StoreEra era;
  private final Listener listener;
  private final Map<Long, Long> pingSentNanos = new HashMap<>();
  private final OutboundForwards forwards;
  private TcpChannel channel;
  private boolean open;
  private boolean up;
  private boolean wasUp;
  private boolean probing;
  private boolean needsStatus = true;
  private final long createdNanos;
  private long statusNeededSinceNanos;
  private boolean closing;
  private long connectionNumber;
  private long lastCorrelation;
  private long lastTransaction;
  private long lastSequence;
  private long lastOpenOrCloseNanos;
  private long lastReceivedNanos;
  private PeerMessage.Pong lastPong;
  private long lastPongPingNanos;

  OutboundPeerLink(
      EventLoop loop,
      PeerTraffic traffic,
      String self,
      String peer,
      String address,
      StoreEra era,
      Listener listener) {
    this.traffic = traffic;
    this.loop = loop;
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.era = era;
    this.listener = listener;
    createdNanos = loop.nowNanos();
    statusNeededSinceNanos = createdNanos;
    forwards = new OutboundForwards(loop, this);
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
    return up && !isSilentTooLong();
  }

  /** Returns whether the heartbeat timed out; the shorter timeout starts with its heartbeats. */
  private boolean isSilentTooLong() {
    long nowNanos = loop.nowNanos();
    long silentNanos = nowNanos - lastReceivedNanos;
    return silentNanos > IDLE_TIMEOUT_NANOS
        || needsStatus
            && silentNanos > STATUS_TIMEOUT_NANOS
            && nowNanos - statusNeededSinceNanos > STATUS_TIMEOUT_NANOS;
  }

  /** Returns the last pong, or null if there was none. */
  PeerMessage.Pong lastPong() {
    return lastPong;
  }

  /** Returns the age of the status in {@link #lastPong}, which must not be null. */
  long statusAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - lastPongPingNanos);
  }

  /** Returns a number that changes with each connection of the link. */
  long connectionNumber() {
    return connectionNumber;
  }

  private void connect() {
    open = false;
    up = false;
    connectionNumber++;
    lastOpenOrCloseNanos = loop.nowNanos();
    lastReceivedNanos = lastOpenOrCloseNanos;
    pingSentNanos.clear();
    // The instance at the address may be of another version than before.
    forwards.setPeerKnowsCancel(false);
    probing = false;
    channel = TcpChannel.connect(loop, address, this);
    if (isPeerStarting()) {
      afterOnThisConnection(STARTING_CONNECT_TIMEOUT_MS, this::endUnansweredConnect);
    }
  }

  private boolean isPeerStarting() {
    return !closing && !wasUp && loop.nowNanos() - createdNanos < STARTING_NANOS;
  }

  private void afterOnThisConnection(long delayMs, Runnable action) {
    long connection = connectionNumber;
    loop.after(
        delayMs,
        () -> {
          if (connection == connectionNumber && !closing) {
            action.run();
          }
        });
  }

  private void endUnansweredConnect() {
    if (!open && !channel.isClosed()) {
      channel.close();
      closed("no connection in time");
    }
  }

  /** Returns an unused number for a transaction on this link. */
  long nextTransactionNumber() {
    return ++lastTransaction;
  }

  /**
   * Sends a statement to the peer, once the link has shown that it works and has a place for it.
   * Returns the statement, or null if it has ended because the link is closed.
   */
  OutboundForwards.Forwarded forward(
      PeerMessage.Forward forward,
      OutboundForwards.Delivery delivery,
      OutboundForwards.Listener onEnd) {
    if (!open || channel.isClosed()) {
      onEnd.notSent();
      return null;
    }
    return forwards.add(forward, delivery, onEnd);
  }

  /** Returns the number of statements that wait for a place. */
  int waitingCount() {
    return forwards.waitingCount();
  }

  @Override
  public boolean hasRecentlyReceived() {
    return loop.nowNanos() - lastReceivedNanos < RECENT_NANOS;
  }

  @Override
  public void probe() {
    if (probing) {
      return;
    }
    probing = true;
    sendPing();
    long connection = connectionNumber;
    long receivedNanos = lastReceivedNanos;
    loop.after(
        PROBE_TIMEOUT_MS,
        () -> {
          boolean sameConnection = connection == connectionNumber;
          boolean silent = sameConnection && lastReceivedNanos == receivedNanos;
          probing &= !sameConnection;
          if (silent && !channel.isClosed()) {
            channel.close();
            closed("no answer to a probe");
          }
        });
  }

  /** Sends a ping if a statement that is sent now would have to wait for one. */
  void checkIfIdle() {
    if (open && !channel.isClosed() && !hasRecentlyReceived()) {
      probe();
    }
  }

  @Override
  public void recordHeldForPing() {
    traffic.recordHeldForPing();
  }

  @Override
  public boolean hasRoomFor(long textLength) {
    return PeerTraffic.hasRoomFor(textLength, channel.unsentBytes());
  }

  @Override
  public boolean send(PeerMessage message) {
    if (!open || channel.isClosed()) {
      return false;
    }
    traffic.write(channel.out(), peer, message);
    return true;
  }

  /**
   * Sends the next ping if it is due; closes a link whose heartbeat timed out, and reopens a closed
   * one.
   *
   * @param statusNeeded whether this instance needs the peer's status
   */
  void heartbeat(boolean statusNeeded) {
    long nowNanos = loop.nowNanos();
    if (statusNeeded && !needsStatus) {
      statusNeededSinceNanos = nowNanos;
    }
    needsStatus = statusNeeded;
    if (channel.isClosed()) {
      if (nowNanos - lastOpenOrCloseNanos > RECONNECT_DELAY_NANOS) {
        connect();
      }
      return;
    }
    long silentNanos = nowNanos - lastReceivedNanos;
    boolean due = needsStatus || !up || silentNanos >= IDLE_PING_INTERVAL_NANOS;
    if (isSilentTooLong()) {
      channel.close();
      closed("heartbeat timeout");
    } else if (forwards.hasSentByLocality() && !probing) {
      // The callers of a lost home are answered within a second, so that the timeout of links that
      // carry few heartbeats is too long.
      probe();
    } else if (due || forwards.hasSent()) {
      sendPing();
    }
  }

  /** Sends a ping without waiting for the next heartbeat. */
  void requestStatus() {
    if (open && !channel.isClosed()) {
      sendPing();
    }
  }

  private void sendPing() {
    pingSentNanos.put(++lastSequence, loop.nowNanos());
    send(new PeerMessage.Ping(self, lastSequence, needsStatus, era.current()));
  }

  void close() {
    closing = true;
    channel.close();
    forwards.endAll();
  }

  @Override
  public void connected() {
    open = true;
    sendPing();
  }

  @Override
  public int maxMessageBytes() {
    return PeerMessageCodec.MAX_MESSAGE_BYTES;
  }

  @Override
  public void received(ByteBuffer in) {
    lastReceivedNanos = loop.nowNanos();
    probing = false;
    forwards.sendHeld();
    try {
      for (PeerMessage message = PeerMessageCodec.read(in);
          message != null && !channel.isClosed();
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
      forwards.answered(result);
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
      wasUp = true;
      Logger.info((Object) LogLine.format("event=peer_up peer={}", peer));
    }
    forwards.setPeerKnowsCancel(pong.protocolVersion() >= PeerMessage.Cancel.SINCE_VERSION);
    lastPong = pong;
    lastPongPingNanos = pingNanos;
    listener.onPong(this, pong, pingNanos);
  }

  @Override
  public void closed(String reason) {
    open = false;
    if (up && !closing) {
      long silentMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - lastReceivedNanos);
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=peer_lost peer={} reason=\"{}\" silent_ms={}", peer, reason, silentMs));
    }
    up = false;
    lastOpenOrCloseNanos = loop.nowNanos();
    forwards.endAll();
    if (isPeerStarting()) {
      afterOnThisConnection(STARTING_RETRY_MS, this::connect);
    }
  }
}
