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
 * Takes links from peers and hands on their messages.
 *
 * <p>Thread safety: safe; the listener is called from one thread for each link.
 */
final class PeerServer implements AutoCloseable {
  private static final int HANDSHAKE_TIMEOUT_MS = 2_000;
  private static final int MAX_LINKS = 512;
  private static final int READ_BUFFER_BYTES = 64 * 1024;

  private final String self;
  private final TokenMac fleet;
  private final PeerListener listener;
  private final ServerSocket server;
  private final Set<Socket> links = ConcurrentHashMap.newKeySet();
  private final AtomicLong refused = new AtomicLong();

  PeerServer(String self, InetSocketAddress address, TokenMac fleet, PeerListener listener)
      throws IOException {
    this.self = self;
    this.fleet = fleet;
    this.listener = listener;
    server = new ServerSocket(address.getPort(), MAX_LINKS, InetAddress.getByName(host(address)));
  }

  /** Starts to take links. */
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

  /** Returns how many links were refused or ended for a fault of the peer. */
  long refusedLinks() {
    return refused.get();
  }

  private void acceptLoop() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        if (links.size() >= MAX_LINKS) {
          socket.close();
          continue;
        }
        links.add(socket);
        Thread thread = new Thread(() -> serve(socket), "peer-in-" + self + "-" + socket.getPort());
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        if (!server.isClosed()) {
          Logger.warn("event=peer_accept_failed reason={}", e.getMessage());
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(HANDSHAKE_TIMEOUT_MS);
      DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      Handshake.AuthenticatedPeer link = Handshake.accept(in, out, fleet, self);
      socket.setSoTimeout(0);
      FrameChannel frames = new FrameChannel(in, out, link.mac());
      for (long read = 1; ; read++) {
        listener.onMessage(link.peer(), MessagePackCodec.decode(frames.read()));
        if (in.available() == 0) {
          out.writeLong(read);
        }
      }
    } catch (PeerException e) {
      refused.incrementAndGet();
      Logger.warn("event=peer_refused reason={}", e.getMessage());
    } catch (IOException e) {
      Logger.debug("event=peer_link_ended reason={}", e.getMessage());
    } finally {
      links.remove(socket);
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
