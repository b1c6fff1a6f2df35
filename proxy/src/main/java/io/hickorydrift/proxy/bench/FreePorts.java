package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback ports to listen at. They lie below those that the system gives to outgoing connections,
 * which could take one between its choice and its use.
 *
 * <p>Invariant: gives no port twice within {@link #COUNT} calls. Thread safety: any thread.
 */
public final class FreePorts {
  private static final int FIRST = 12_000;
  private static final int COUNT = 18_000;
  // Processes that run side by side begin at different places.
  private static final int STEP = 240;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * STEP % COUNT));

  private FreePorts() {}

  /** Returns a port that nobody listens at. */
  public static int next() {
    for (int i = 0; i < COUNT; i++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        continue; // Taken; the next one is tried.
      }
    }
    throw new IllegalStateException("no free port from " + FIRST + " on");
  }

  /** Returns host and port. */
  public static String nextAddress() {
    return "127.0.0.1:" + next();
  }
}
