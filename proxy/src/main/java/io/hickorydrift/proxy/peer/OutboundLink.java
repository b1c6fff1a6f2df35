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
 * The link over which this instance sends to one peer. The peer acknowledges what it has read; a
 * link whose acknowledgements stop is closed and opened anew, so one that has gone silent is not
 * trusted for long.
 *
 * <p>Invariant: messages leave in the order in which they were offered, and none twice. Thread
 * safety: {@link #offer} may be called from any thread; a thread of its own writes.
 */
final class OutboundLink implements AutoCloseable {
  private static final int RING_SIZE = 4_096;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long SILENT_NANOS = 1_000_000_000L;
  private static final long ACK_POLL_MS = 20;
  private static final long IDLE_MS = 500;
  private static final long RECONNECT_MS = 100;
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  private final String self;
  private final String peer;
  private final String address;
  private final TokenMac fleet;
  private final Runnable onLost;
  private final ArrayBlockingQueue<byte[]> ring = new ArrayBlockingQueue<>(RING_SIZE);
  private final Thread thread;
  private volatile long usedNanos = System.nanoTime();
  private volatile Socket socket;
  private volatile boolean ready;
  private volatile boolean closed;
  private volatile long unackedSinceNanos;
  private volatile boolean awaitingAck;
  private long sent;
  private long acked;

  OutboundLink(String self, String peer, String address, TokenMac fleet, Runnable onLost) {
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.fleet = fleet;
    this.onLost = onLost;
    thread = new Thread(this::run, "peer-out-" + self + "-" + peer);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return address;
  }

  /** Queues a message; returns false if the link is down or its ring is full. */
  boolean offer(byte[] payload) {
    usedNanos = System.nanoTime();
    return ready && ring.offer(payload);
  }

  /** Returns whether something was offered, or the link was opened, within {@code withinNanos}. */
  boolean usedWithin(long withinNanos, long nowNanos) {
    return nowNanos - usedNanos <= withinNanos;
  }

  boolean isReady() {
    return ready;
  }

  /** Closes the socket if the peer has not acknowledged for too long; also frees a stuck write. */
  void closeIfUnresponsive(long nowNanos) {
    if (awaitingAck && nowNanos - unackedSinceNanos > SILENT_NANOS) {
      closeSocket();
    }
  }

  private void run() {
    while (!closed) {
      try {
        serve();
      } catch (IOException | PeerException e) {
        Logger.debug("event=peer_link_lost address={} reason={}", address, e.getMessage());
      } catch (InterruptedException e) {
        closed = true;
      }
      final boolean wasReady = ready;
      ready = false;
      awaitingAck = false;
      ring.clear();
      closeSocket();
      if (wasReady) {
        onLost.run();
      }
      pause();
    }
  }

  private void serve() throws IOException, InterruptedException {
    int colon = address.lastIndexOf(':');
    Socket opened = new Socket();
    socket = opened;
    opened.setTcpNoDelay(true);
    opened.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        CONNECT_TIMEOUT_MS);
    opened.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(SILENT_NANOS));
    DataInputStream in = new DataInputStream(opened.getInputStream());
    DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(opened.getOutputStream(), SEND_BUFFER_BYTES));
    Handshake.AuthenticatedPeer link = Handshake.connect(in, out, fleet, self);
    if (!link.peer().equals(peer)) {
      throw new PeerException("another instance answers at this address", null);
    }
    sent = 0;
    acked = 0;
    ready = true;
    FrameChannel frames = new FrameChannel(in, out, link.mac());
    while (!closed) {
      writeBatch(frames);
      readAcks(in);
    }
  }

  private void writeBatch(FrameChannel frames) throws IOException, InterruptedException {
    byte[] payload = ring.poll(awaitingAck ? ACK_POLL_MS : IDLE_MS, TimeUnit.MILLISECONDS);
    if (payload == null) {
      return;
    }
    if (!awaitingAck) {
      unackedSinceNanos = System.nanoTime();
      awaitingAck = true;
    }
    while (payload != null) {
      frames.write(payload);
      sent++;
      payload = ring.poll();
    }
    frames.flush();
  }

  private void readAcks(DataInputStream in) throws IOException {
    boolean progress = false;
    while (in.available() >= Long.BYTES) {
      acked = in.readLong();
      progress = true;
    }
    if (acked >= sent) {
      awaitingAck = false;
    } else if (progress) {
      unackedSinceNanos = System.nanoTime();
    }
    closeIfUnresponsive(System.nanoTime());
  }

  private void pause() {
    try {
      Thread.sleep(RECONNECT_MS);
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
