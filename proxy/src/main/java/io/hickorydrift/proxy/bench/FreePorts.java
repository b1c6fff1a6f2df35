package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free loopback ports to listen on. They lie below the range of ephemeral ports, so that no
 * outgoing connection takes one after it is chosen and before it is bound.
 *
 * <p>A process takes ports from blocks that it has claimed for its lifetime by binding the first
 * port of each, so that concurrent processes do not choose the same port.
 *
 * <p>Invariant: returns no port twice as long as unclaimed blocks are left. Thread safety: any
 * thread.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 12_000;
  private static final int BLOCK_SIZE = 200;
  private static final int BLOCK_COUNT = 90;

  private static final List<ServerSocket> CLAIMS = new ArrayList<>();
  private static int nextPort = FIRST_PORT;
  private static int reusedBlocks;

  private FreePorts() {}

  /** Returns a port that no socket is bound to. */
  public static synchronized int next() {
    for (int i = 0; i < BLOCK_SIZE * BLOCK_COUNT; i++) {
      int port = nextInBlock();
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free loopback port from " + FIRST_PORT + " upwards");
  }

  private static int nextInBlock() {
    if (nextPort % BLOCK_SIZE == 0) {
      nextPort = nextBlock() + 1;
    }
    return nextPort++;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = listen(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false; // Another socket is bound to it.
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
  }

  /** Claims a block and returns its first port, or that of an own block if none is left. */
  private static int nextBlock() {
    // Concurrent processes start their search at different blocks.
    long firstBlock = ProcessHandle.current().pid();
    for (int i = 0; i < BLOCK_COUNT; i++) {
      int start = FIRST_PORT + (int) ((firstBlock + i) % BLOCK_COUNT) * BLOCK_SIZE;
      try {
        CLAIMS.add(listen(start));
        return start;
      } catch (IOException e) {
        continue; // Claimed, by this process or another one.
      }
    }
    if (CLAIMS.isEmpty()) {
      throw new IllegalStateException("all blocks of loopback ports are claimed");
    }
    return CLAIMS.get(reusedBlocks++ % CLAIMS.size()).getLocalPort();
  }

  /** Returns the loopback host and a free port, as {@code host:port}. */
  public static String nextAddress() {
    return "127.0.0.1:" + next();
  }
}
