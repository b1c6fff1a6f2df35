package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/**
 * An HTTP server whose test decides which bytes are sent on a connection, and when. The event loop
 * of the client runs only within the methods of this class.
 */
final class RawHttpServer implements AutoCloseable {
  private static final int MAX_ROUNDS = 1_000;
  private static final long ROUND_MS = 5;

  private final EventLoop loop;
  private final ServerSocket listener;

  RawHttpServer(EventLoop loop) throws IOException {
    this.loop = loop;
    listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(1);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Runs the event loop until the client opens a connection. */
  Connection accept() throws IOException {
    for (int round = 0; round < MAX_ROUNDS; round++) {
      loop.runOnce(ROUND_MS);
      try {
        return new Connection(listener.accept());
      } catch (SocketTimeoutException e) {
        // The next round.
      }
    }
    throw new AssertionError("no connection");
  }

  /** Runs the event loop until {@code condition} holds. */
  void runUntil(BooleanSupplier condition) throws IOException {
    for (int round = 0; round < MAX_ROUNDS && !condition.getAsBoolean(); round++) {
      loop.runOnce(ROUND_MS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  /** A connection of the client. */
  final class Connection {
    private final Socket socket;

    private Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(1);
      socket.setTcpNoDelay(true);
    }

    /** Runs the event loop until a request without a body has arrived, and sends {@code text}. */
    void answer(String text) throws IOException {
      StringBuilder request = new StringBuilder();
      for (int round = 0; round < MAX_ROUNDS && request.indexOf("\r\n\r\n") < 0; round++) {
        loop.runOnce(ROUND_MS);
        append(request);
      }
      assertThat(request).endsWith("\r\n\r\n");
      send(text);
    }

    private void append(StringBuilder request) throws IOException {
      try {
        for (int octet = socket.getInputStream().read();
            octet >= 0;
            octet = socket.getInputStream().read()) {
          request.append((char) octet);
        }
      } catch (SocketTimeoutException e) {
        // No more bytes have arrived.
      }
    }

    /** Sends {@code text}; the event loop does not run meanwhile. */
    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Runs the event loop until the client closes the connection; returns whether it does. */
    boolean isClosedByClient() throws IOException {
      for (int round = 0; round < MAX_ROUNDS; round++) {
        loop.runOnce(ROUND_MS);
        try {
          if (socket.getInputStream().read() < 0) {
            return true;
          }
        } catch (SocketTimeoutException e) {
          // The next round.
        } catch (IOException e) {
          return true;
        }
      }
      return false;
    }

    void close() throws IOException {
      socket.close();
    }
  }
}
