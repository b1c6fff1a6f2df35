package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;

/**
 * The least that a process of the gateway's kind can be: one thread, one selector, one port.
 *
 * <p>Thread safety: runs on the main thread alone.
 */
public final class BareProcess {
  private BareProcess() {}

  /** Accepts and closes connections at the port {@code arguments[0]} of loopback. */
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
