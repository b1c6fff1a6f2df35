package io.hickorydrift.proxy.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A connection on the loop. What is written waits in a bounded buffer until the end of the turn.
 *
 * <p>Invariant: after {@link #close} or {@link ChannelHandler#closed} the handler hears nothing
 * more. Thread safety: confined to the loop's thread.
 */
public final class TcpChannel implements EventLoop.SelectionHandler {
  // A peer that reads nothing for so long is not worth more memory.
  private static final int MAX_WAITING_BYTES = 4 * 1024 * 1024;
  // One message and a little of the next.
  private static final int MAX_UNREAD_BYTES = (1 << 20) + 64 * 1024;

  private static final long DISCARD_MS = 300;

  private final EventLoop loop;
  private final SocketChannel socket;
  private final OutBuffer out = new OutBuffer();
  private ChannelHandler handler;
  private SelectionKey key;
  private byte[] unread;
  private boolean flushing;
  private boolean closed;
  private boolean closeWhenFlushed;
  private boolean discarding;

  private TcpChannel(EventLoop loop, SocketChannel socket) {
    this.loop = loop;
    this.socket = socket;
  }

  /** Begins to connect to {@code address}, host and port by number. */
  public static TcpChannel connect(EventLoop loop, String address, ChannelHandler handler) {
    SocketChannel socket = null;
    try {
      socket = SocketChannel.open();
      TcpChannel channel = new TcpChannel(loop, socket);
      channel.handler = handler;
      channel.prepare();
      boolean done = socket.connect(Addresses.parse(address));
      channel.key =
          socket.register(
              loop.selector(), done ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, channel);
      if (done) {
        loop.after(0, channel::announce);
      }
      return channel;
    } catch (IOException | RuntimeException e) {
      TcpChannel failed = new TcpChannel(loop, socket);
      failed.handler = handler;
      loop.after(0, () -> failed.failed(e));
      return failed;
    }
  }

  /** Takes over an accepted connection. */
  static TcpChannel accepted(EventLoop loop, SocketChannel socket) throws IOException {
    TcpChannel channel = new TcpChannel(loop, socket);
    channel.prepare();
    return channel;
  }

  void start(ChannelHandler owner) throws IOException {
    handler = owner;
    key = socket.register(loop.selector(), SelectionKey.OP_READ, this);
  }

  private void prepare() throws IOException {
    socket.configureBlocking(false);
    socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  private void announce() {
    if (!closed) {
      handler.connected();
      out();
    }
  }

  /** Returns the buffer to write into; it leaves at the end of the turn. */
  public OutBuffer out() {
    if (!flushing) {
      flushing = true;
      loop.flushLater(this);
    }
    return out;
  }

  /** Returns whether this side or the other closed it. */
  public boolean isClosed() {
    return closed;
  }

  /** Closes at once; what has not left is lost. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (key != null) {
      key.cancel();
    }
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      Logger.debug("event=close_failed reason={}", e.getMessage());
    }
  }

  /**
   * Closes once all that waits has left. What still comes is discarded for a moment, since closing
   * with bytes unread would reset the connection and lose what was sent last.
   */
  public void closeAfterFlush() {
    closeWhenFlushed = true;
    out();
  }

  @Override
  public void ready(SelectionKey selected) throws IOException {
    if (closed) {
      return;
    }
    if (selected.isConnectable()) {
      socket.finishConnect();
      selected.interestOps(SelectionKey.OP_READ);
      announce();
      return;
    }
    if (selected.isWritable()) {
      selected.interestOps(SelectionKey.OP_READ);
      flush();
    }
    if (!closed && selected.isReadable()) {
      read();
    }
  }

  private void read() throws IOException {
    ByteBuffer buffer = loop.readBuffer().clear();
    int count = socket.read(buffer);
    if (count < 0) {
      if (discarding) {
        close();
      } else {
        failed(new IOException("closed by the other side"));
      }
      return;
    }
    if (discarding) {
      return;
    }
    loop.clock().refresh();
    buffer.flip();
    ByteBuffer in = joined(buffer);
    handler.received(in);
    if (closed) {
      return;
    }
    keep(in);
  }

  private ByteBuffer joined(ByteBuffer buffer) {
    if (unread == null) {
      return buffer;
    }
    ByteBuffer both = ByteBuffer.allocate(unread.length + buffer.remaining());
    both.put(unread).put(buffer).flip();
    unread = null;
    return both;
  }

  private void keep(ByteBuffer in) {
    if (!in.hasRemaining()) {
      return;
    }
    if (in.remaining() > MAX_UNREAD_BYTES) {
      failed(new IOException("message too large"));
      return;
    }
    unread = new byte[in.remaining()];
    in.get(unread);
  }

  void flush() {
    flushing = false;
    if (closed || key == null || key.interestOps() == SelectionKey.OP_CONNECT) {
      return;
    }
    try {
      while (out.size() > 0) {
        ByteBuffer buffer = loop.writeBuffer().clear();
        out.copyTo(buffer);
        buffer.flip();
        int expected = buffer.remaining();
        int written = socket.write(buffer);
        out.discard(written);
        if (written < expected) {
          key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
          checkRoom();
          return;
        }
      }
      if (closeWhenFlushed && !discarding) {
        discarding = true;
        socket.shutdownOutput();
        loop.after(DISCARD_MS, this::close);
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void checkRoom() {
    if (out.size() > MAX_WAITING_BYTES) {
      failed(new IOException("the other side reads too slowly"));
    }
  }

  @Override
  public void failed(Exception cause) {
    if (closed) {
      return;
    }
    close();
    handler.closed(String.valueOf(cause.getMessage()));
  }
}
