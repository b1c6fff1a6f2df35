package io.hickorydrift.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes bytes between two ends until it is told to lose them. */
public final class TcpRelay implements AutoCloseable {
  private final ServerSocket server;
  private final String target;
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private volatile boolean cut;

  private static final class Link {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    private Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  /** Listens on loopback and passes on to {@code target}. */
  public TcpRelay(String target) throws IOException {
    this.target = target;
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    start(this::acceptLoop);
  }

  /** Returns host and port to connect to. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Loses every byte on the connections open now; new ones work. */
  public void silenceOpenConnections() {
    links.forEach(link -> link.silent = true);
  }

  /** Loses every byte on all connections, also new ones, until {@link #clearFaults}. */
  public void cut() {
    cut = true;
  }

  /** Lets new connections pass again; those open during the cut stay silent. */
  public void heal() {
    silenceOpenConnections();
    cut = false;
  }

  private void acceptLoop() {
    try {
      while (true) {
        Socket near = server.accept();
        int colon = target.lastIndexOf(':');
        int port = Integer.parseInt(target.substring(colon + 1));
        Link link = new Link(near, new Socket(target.substring(0, colon), port));
        links.add(link);
        start(() -> pump(link, link.near, link.far));
        start(() -> pump(link, link.far, link.near));
      }
    } catch (IOException e) {
      closeAll();
    }
  }

  private void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        if (!cut && !link.silent) {
          out.write(buffer, 0, count);
        }
        count = in.read(buffer);
      }
    } catch (IOException e) {
      link.silent = true;
    }
    closeQuietly(from);
    closeQuietly(to);
    links.remove(link);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void closeAll() {
    links.forEach(
        link -> {
          closeQuietly(link.near);
          closeQuietly(link.far);
        });
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed is what was wanted.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    closeAll();
  }
}
