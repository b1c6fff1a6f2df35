package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Accepts links from peers and passes their messages to the listener.
 *
 * <p>Thread safety: safe; the listener is called on one thread per link.
 */
final class PeerServer implements AutoCloseable {
  private static final int HANDSHAKE_TIMEOUT_MS = 2_000;
  private static final int MAX_LINKS = 512;
  private static final int READ_BUFFER_BYTES = 64 * 1024;

  private final String self;
  private final TokenMac fleetMac;
  private final PeerListener listener;
  private final ServerSocket server;
  private final Set<Socket> links = ConcurrentHashMap.newKeySet();
  private final AtomicLong refusedLinks = new AtomicLong();

  PeerServer(String self, InetSocketAddress address, TokenMac fleetMac, PeerListener listener)
      throws IOException {
    this.self = self;
    this.fleetMac = fleetMac;
    this.listener = listener;
    server = new ServerSocket(address.getPort(), MAX_LINKS, InetAddress.getByName(host(address)));
  }

  /** Starts to accept links. */
  void start() {
    Thread thread = new Thread(this::acceptLoop, "peer-accept-" + self);
    thread.setDaemon(true);
    thread.start();
  }

  private static String host(InetSocketAddress address) {
    return address.getHostString();
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /**
   * Returns the number of links refused or closed because of a failed handshake or an invalid
   * frame.
   */
  long refusedLinks() {
    return refusedLinks.get();
  }

  private void acceptLoop() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        if (links.size() >= MAX_LINKS) {
          refusedLinks.incrementAndGet();
          Logger.warn("event=peer_refused reason=\"more than {} links\"", MAX_LINKS);
          socket.close();
          continue;
        }
        links.add(socket);
        Thread thread =
            new Thread(() -> receiveMessages(socket), "peer-in-" + self + "-" + socket.getPort());
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        if (!server.isClosed()) {
          Logger.warn("event=peer_accept_failed reason={}", e.getMessage());
        }
      }
    }
  }

  private void receiveMessages(Socket socket) {
    try (socket) {
      receiveMessagesUntilRefused(socket);
    } catch (IOException e) {
      Logger.debug("event=peer_link_ended reason={}", e.getMessage());
    } finally {
      links.remove(socket);
    }
  }

  private void receiveMessagesUntilRefused(Socket socket) throws IOException {
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(HANDSHAKE_TIMEOUT_MS);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      Handshake.AuthenticatedPeer authenticated = Handshake.accept(in, out, fleetMac, self);
      socket.setSoTimeout(0);
      FrameChannel frames = new FrameChannel(in, out, authenticated.mac());
      for (long messagesRead = 1; ; messagesRead++) {
        listener.onMessage(authenticated.peer(), MessagePackCodec.decode(frames.read()));
        if (in.available() == 0) {
          out.writeLong(messagesRead);
        }
      }
    } catch (PeerException e) {
      // Counted before the socket is closed, so that whoever sees it closed also sees the count.
      refusedLinks.incrementAndGet();
      Logger.warn("event=peer_refused reason={}", e.getMessage());
    }
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Socket link : links) {
        link.close();
      }
    } catch (IOException e) {
      Logger.debug("event=peer_close_failed reason={}", e.getMessage());
    }
  }
}
