package io.hickorydrift.proxy.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Accepts connections at one address.
 *
 * <p>Thread safety: confined to the event loop's thread.
 */
public final class TcpListener implements EventLoop.SelectionHandler {
  private static final int BACKLOG = 1_024;
  private static final int MAX_ACCEPTS_PER_ITERATION = 64;

  private final EventLoop loop;
  private final ServerSocketChannel socket;
  private final Function<TcpChannel, ChannelHandler> handlerFactory;

  /** Listens at {@code address}; {@code handlerFactory} creates the handler of each connection. */
  public TcpListener(
      EventLoop loop, String address, Function<TcpChannel, ChannelHandler> handlerFactory)
      throws IOException {
    this.loop = loop;
    this.handlerFactory = handlerFactory;
    socket = ServerSocketChannel.open();
    socket.configureBlocking(false);
    socket.bind(Addresses.parse(address), BACKLOG);
    socket.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
  }

  @Override
  public void ready(SelectionKey key) throws IOException {
    for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
      SocketChannel accepted = socket.accept();
      if (accepted == null) {
        return;
      }
      TcpChannel channel = TcpChannel.accepted(loop, accepted);
      channel.start(handlerFactory.apply(channel));
    }
  }

  @Override
  public void failed(Exception cause) {
    Logger.warn("event=accept_failed reason=\"{}\"", cause.getMessage());
  }

  /** Stops accepting connections. */
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      Logger.debug("event=close_failed reason={}", e.getMessage());
    }
  }
}
