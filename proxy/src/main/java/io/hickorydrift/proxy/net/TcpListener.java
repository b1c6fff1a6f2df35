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
  private static final long RETRY_MS = 100;

  private final EventLoop loop;
  private final ServerSocketChannel socket;
  private final SelectionKey key;
  private boolean failing;
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
    key = socket.register(loop.selector(), SelectionKey.OP_ACCEPT, this);
  }

  @Override
  public void ready(SelectionKey selectedKey) throws IOException {
    for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
      SocketChannel accepted = socket.accept();
      if (accepted == null) {
        return;
      }
      failing = false;
      start(accepted);
    }
  }

  private void start(SocketChannel accepted) throws IOException {
    try {
      TcpChannel channel = TcpChannel.accepted(loop, accepted);
      ChannelHandler handler = handlerFactory.apply(channel);
      if (!channel.isClosed()) {
        channel.start(handler);
      }
    } catch (IOException e) {
      accepted.close();
      throw e;
    }
  }

  /**
   * Accepts nothing for a moment. Connections wait in the queue meanwhile; while descriptors are
   * used up, the selector would report them in every iteration.
   */
  @Override
  public void failed(Exception cause) {
    if (!failing) {
      failing = true;
      Logger.warn("event=accept_failed reason=\"{}\"", cause.getMessage());
    }
    if (socket.isOpen()) {
      key.interestOps(0);
      loop.after(RETRY_MS, this::resume);
    }
  }

  private void resume() {
    if (key.isValid()) {
      key.interestOps(SelectionKey.OP_ACCEPT);
    }
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
