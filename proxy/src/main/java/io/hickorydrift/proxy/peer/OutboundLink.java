package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Link over which this instance sends messages to one peer. The peer acknowledges the messages that
 * it has read. If acknowledgements stop for longer than the timeout, the link is closed and
 * reconnected, so a link that silently drops data isn't used for long.
 *
 * <p>Invariant: messages are sent in the order in which they were offered, each at most once.
 * Thread safety: {@link #offer} may be called from any thread; a dedicated thread writes to the
 * socket.
 */
final class OutboundLink implements AutoCloseable {
  private static final int MAX_QUEUED_MESSAGES = 4_096;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long ACK_TIMEOUT_NANOS = 1_000_000_000L;
  private static final long ACK_POLL_INTERVAL_MS = 20;
  private static final long IDLE_POLL_INTERVAL_MS = 500;
  private static final long RECONNECT_DELAY_MS = 100;
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  private final String self;
  private final String peer;
  private final String address;
  private final TokenMac fleetMac;
  private final Runnable onLinkClosed;
  private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
  private final Thread thread;
  private volatile long lastUsedNanos = System.nanoTime();
  private volatile Socket socket;
  private volatile boolean connected;
  private volatile boolean closed;
  private volatile long unackedSinceNanos;
  private volatile boolean awaitingAck;
  private long sentCount;
  private long ackedCount;

  OutboundLink(String self, String peer, String address, TokenMac fleetMac, Runnable onLinkClosed) {
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.fleetMac = fleetMac;
    this.onLinkClosed = onLinkClosed;
    thread = new Thread(this::run, "peer-out-" + self + "-" + peer);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return address;
  }

  /** Queues a message; returns false if the link is not connected or its queue is full. */
  boolean offer(byte[] payload) {
    lastUsedNanos = System.nanoTime();
    return connected && queue.offer(payload);
  }

  /** Returns whether a message was offered or the link was created within {@code withinNanos}. */
  boolean usedWithin(long withinNanos, long nowNanos) {
    return nowNanos - lastUsedNanos <= withinNanos;
  }

  boolean isConnected() {
    return connected;
  }

  /** Closes the socket if an acknowledgement is overdue; this also unblocks a blocked write. */
  void closeIfUnresponsive(long nowNanos) {
    if (awaitingAck && nowNanos - unackedSinceNanos > ACK_TIMEOUT_NANOS) {
      closeSocket();
    }
  }

  private void run() {
    while (!closed) {
      try {
        connectAndSend();
      } catch (IOException | PeerException e) {
        Logger.debug("event=peer_link_lost address={} reason={}", address, e.getMessage());
      } catch (InterruptedException e) {
        closed = true;
      }
      final boolean wasConnected = connected;
      connected = false;
      awaitingAck = false;
      queue.clear();
      closeSocket();
      if (wasConnected) {
        onLinkClosed.run();
      }
      waitBeforeReconnect();
    }
  }

  private void connectAndSend() throws IOException, InterruptedException {
    int colon = address.lastIndexOf(':');
    Socket opened = new Socket();
    socket = opened;
    opened.setTcpNoDelay(true);
    opened.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        CONNECT_TIMEOUT_MS);
    opened.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(ACK_TIMEOUT_NANOS));
    DataInputStream in = new DataInputStream(opened.getInputStream());
    DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(opened.getOutputStream(), SEND_BUFFER_BYTES));
    Handshake.AuthenticatedPeer authenticated = Handshake.connect(in, out, fleetMac, self);
    if (!authenticated.peer().equals(peer)) {
      throw new PeerException("address belongs to another instance", null);
    }
    sentCount = 0;
    ackedCount = 0;
    connected = true;
    FrameChannel frames = new FrameChannel(in, out, authenticated.mac());
    while (!closed) {
      writeBatch(frames);
      readAcks(in);
    }
  }

  private void writeBatch(FrameChannel frames) throws IOException, InterruptedException {
    byte[] payload =
        queue.poll(
            awaitingAck ? ACK_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    if (payload == null) {
      return;
    }
    if (!awaitingAck) {
      unackedSinceNanos = System.nanoTime();
      awaitingAck = true;
    }
    while (payload != null) {
      frames.write(payload);
      sentCount++;
      payload = queue.poll();
    }
    frames.flush();
  }

  private void readAcks(DataInputStream in) throws IOException {
    boolean progress = false;
    while (in.available() >= Long.BYTES) {
      ackedCount = in.readLong();
      progress = true;
    }
    if (ackedCount >= sentCount) {
      awaitingAck = false;
    } else if (progress) {
      unackedSinceNanos = System.nanoTime();
    }
    closeIfUnresponsive(System.nanoTime());
  }

  private void waitBeforeReconnect() {
    try {
      Thread.sleep(RECONNECT_DELAY_MS);
    } catch (InterruptedException e) {
      closed = true;
    }
  }

  private void closeSocket() {
    Socket current = socket;
    if (current != null) {
      try {
        current.close();
      } catch (IOException e) {
        Logger.debug("event=peer_close_failed address={}", address);
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    closeSocket();
    thread.interrupt();
  }
}
