package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;

/**
 * Minimal network server, as a baseline for starts of the gateway: one thread, one selector, one
 * port.
 *
 * <p>Thread safety: runs on the main thread only.
 */
public final class BareProcess {
  private BareProcess() {}

  /** Accepts and closes connections on the loopback port {@code arguments[0]}. */
  public static void main(String[] arguments) throws IOException {
    Selector selector = Selector.open();
    ServerSocketChannel server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[0])));
    server.configureBlocking(false);
    server.register(selector, SelectionKey.OP_ACCEPT);
    while (true) {
      selector.select();
      selector.selectedKeys().clear();
      server.accept().close();
    }
  }
}
