package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports to listen on. They lie below the range of ephemeral ports, so that no
 * outgoing connection takes one after it is chosen and before it is bound.
 *
 * <p>Invariant: returns no port twice within {@link #PORT_COUNT} calls. Thread safety: any thread.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 12_000;
  private static final int PORT_COUNT = 18_000;
  // Concurrent processes start their search at different ports.
  private static final int PORTS_PER_PROCESS = 240;

  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

  private FreePorts() {}

  /** Returns a port that no socket is bound to. */
  public static int next() {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        continue; // In use; try the next port.
      }
    }
    throw new IllegalStateException("no free loopback port from " + FIRST_PORT + " upwards");
  }

  /** Returns the loopback host and a free port, as {@code host:port}. */
  public static String nextAddress() {
    return "127.0.0.1:" + next();
  }
}
