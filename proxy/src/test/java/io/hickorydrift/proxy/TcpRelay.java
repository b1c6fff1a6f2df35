package io.hickorydrift.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards TCP connections to an address, and drops their bytes on demand.
 *
 * <p>Thread safety: safe.
 */
public final class TcpRelay implements AutoCloseable {
  private final ServerSocket listener;
  private final String target;
  private final List<RelayedConnection> connections = new CopyOnWriteArrayList<>();
  private volatile boolean dropsAllBytes;

  private static final class RelayedConnection {
    private final Socket client;
    private final Socket upstream;
    private volatile boolean dropsBytes;

    private RelayedConnection(Socket client, Socket upstream) {
      this.client = client;
      this.upstream = upstream;
    }
  }

  /** Listens on loopback and forwards connections to {@code target}. */
  public TcpRelay(String target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    start(this::acceptLoop);
  }

  /** Returns host and port of the listener. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Drops all bytes of the connections that are open now; new connections work. */
  public void dropBytesOfOpenConnections() {
    connections.forEach(connection -> connection.dropsBytes = true);
  }

  /** Drops all bytes of all connections, including new ones, until {@link #clearFaults}. */
  public void dropAllBytes() {
    dropsAllBytes = true;
  }

  /** Forwards new connections again; the bytes of those open now are dropped for good. */
  public void clearFaults() {
    dropBytesOfOpenConnections();
    dropsAllBytes = false;
  }

  private void acceptLoop() {
    try {
      while (true) {
        Socket client = listener.accept();
        int colon = target.lastIndexOf(':');
        int port = Integer.parseInt(target.substring(colon + 1));
        RelayedConnection connection =
            new RelayedConnection(client, new Socket(target.substring(0, colon), port));
        connections.add(connection);
        start(() -> pump(connection, connection.client, connection.upstream));
        start(() -> pump(connection, connection.upstream, connection.client));
      }
    } catch (IOException e) {
      closeAll();
    }
  }

  private void pump(RelayedConnection connection, Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        if (!dropsAllBytes && !connection.dropsBytes) {
          out.write(buffer, 0, count);
        }
        count = in.read(buffer);
      }
    } catch (IOException e) {
      connection.dropsBytes = true;
    }
    closeQuietly(from);
    closeQuietly(to);
    connections.remove(connection);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void closeAll() {
    connections.forEach(
        connection -> {
          closeQuietly(connection.client);
          closeQuietly(connection.upstream);
        });
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is discarded either way.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeAll();
  }
}
