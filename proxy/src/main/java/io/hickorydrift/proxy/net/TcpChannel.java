package io.hickorydrift.proxy.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A TCP connection on the event loop. Written bytes are held in a bounded buffer until the end of
 * the iteration.
 *
 * <p>Invariant: the handler is not called after {@link #close} or {@link ChannelHandler#closed}.
 * Thread safety: confined to the event loop's thread.
 */
public final class TcpChannel implements EventLoop.SelectionHandler {
  // Bounds the memory spent on a remote end that does not read.
  private static final int MAX_PENDING_BYTES = 4 * 1024 * 1024;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;
  // One message and the beginning of the next.
  private static final int MAX_UNREAD_BYTES = MAX_MESSAGE_BYTES + 64 * 1024;
  private static final long LINGERING_CLOSE_MS = 300;

  private final EventLoop loop;
  private final SocketChannel socket;
  private final OutBuffer out = new OutBuffer();
  private ChannelHandler handler;
  private SelectionKey key;
  // Bytes received of a message that is not complete yet; grows by doubling, so that a message that
  // arrives in many pieces is copied a constant number of times.
  private ByteBuffer unread;
  private boolean flushScheduled;
  private boolean closed;
  private boolean closeWhenFlushed;
  private boolean discarding;

  private TcpChannel(EventLoop loop, SocketChannel socket) {
    this.loop = loop;
    this.socket = socket;
  }

  /** Starts to connect to {@code address}, a numeric IPv4 address and a port. */
  public static TcpChannel connect(EventLoop loop, String address, ChannelHandler handler) {
    SocketChannel socket = null;
    try {
      socket = SocketChannel.open();
      TcpChannel channel = new TcpChannel(loop, socket);
      channel.handler = handler;
      channel.configure();
      boolean done = socket.connect(Addresses.parse(address));
      channel.key =
          socket.register(
              loop.selector(), done ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, channel);
      if (done) {
        loop.after(0, channel::notifyConnected);
      }
      return channel;
    } catch (IOException | RuntimeException e) {
      TcpChannel failed = new TcpChannel(loop, socket);
      failed.handler = handler;
      loop.after(0, () -> failed.failed(e));
      return failed;
    }
  }

  /** Creates the channel of an accepted connection. */
  static TcpChannel accepted(EventLoop loop, SocketChannel socket) throws IOException {
    TcpChannel channel = new TcpChannel(loop, socket);
    channel.configure();
    return channel;
  }

  void start(ChannelHandler owner) throws IOException {
    handler = owner;
    key = socket.register(loop.selector(), SelectionKey.OP_READ, this);
  }

  private void configure() throws IOException {
    socket.configureBlocking(false);
    socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  private void notifyConnected() {
    if (!closed) {
      handler.connected();
      out();
    }
  }

  /** Returns the buffer to write to; it is sent at the end of the iteration. */
  public OutBuffer out() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.flushLater(this);
    }
    return out;
  }

  /** Returns whether either side closed the connection. */
  public boolean isClosed() {
    return closed;
  }

  /** Closes the connection at once; unsent bytes are lost. */
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
   * Closes the connection once the buffered bytes are sent. Bytes received after that are discarded
   * for {@link #LINGERING_CLOSE_MS}, since closing with unread bytes would reset the connection and
   * lose the bytes sent last.
   */
  public void closeAfterFlush() {
    closeWhenFlushed = true;
    out();
  }

  @Override
  public void ready(SelectionKey selectedKey) throws IOException {
    if (closed) {
      return;
    }
    if (selectedKey.isConnectable()) {
      socket.finishConnect();
      selectedKey.interestOps(SelectionKey.OP_READ);
      notifyConnected();
      return;
    }
    if (selectedKey.isWritable()) {
      selectedKey.interestOps(SelectionKey.OP_READ);
      flush();
    }
    if (!closed && selectedKey.isReadable()) {
      read();
    }
  }

  /**
   * Passes on bytes that have arrived since the event loop last looked for some. Must not be called
   * while received bytes are being handled.
   */
  public void readArrived() {
    if (closed || key == null || key.interestOps() == SelectionKey.OP_CONNECT) {
      return;
    }
    try {
      read();
    } catch (IOException e) {
      failed(e);
    }
  }

  private void read() throws IOException {
    ByteBuffer buffer = loop.readBuffer().clear();
    int count = socket.read(buffer);
    if (count == 0) {
      return;
    }
    if (count < 0) {
      if (discarding) {
        close();
      } else {
        failed(new IOException("closed by the remote end"));
      }
      return;
    }
    if (discarding) {
      return;
    }
    loop.clock().refresh();
    buffer.flip();
    if (unread != null
        && unread.position() + buffer.remaining() <= MAX_MESSAGE_BYTES
        && !handler.mayCompleteMessage(buffer.duplicate())) {
      appendUnread(buffer);
      return;
    }
    ByteBuffer in = prependUnread(buffer);
    handler.received(in);
    if (closed) {
      return;
    }
    saveUnread(in);
  }

  private ByteBuffer prependUnread(ByteBuffer buffer) {
    if (unread == null) {
      return buffer;
    }
    appendUnread(buffer);
    ByteBuffer joined = unread.flip();
    unread = null;
    return joined;
  }

  private void appendUnread(ByteBuffer buffer) {
    int needed = unread.position() + buffer.remaining();
    if (needed > unread.capacity()) {
      unread = ByteBuffer.allocate(Math.max(needed, 2 * unread.capacity())).put(unread.flip());
    }
    unread.put(buffer);
  }

  private void saveUnread(ByteBuffer in) {
    if (!in.hasRemaining()) {
      return;
    }
    if (in.remaining() > MAX_UNREAD_BYTES) {
      failed(new IOException("message too large"));
      return;
    }
    unread = ByteBuffer.allocate(in.remaining()).put(in);
  }

  void flush() {
    flushScheduled = false;
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
          checkPendingBytes();
          return;
        }
      }
      if (closeWhenFlushed && !discarding) {
        discarding = true;
        socket.shutdownOutput();
        loop.after(LINGERING_CLOSE_MS, this::close);
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void checkPendingBytes() {
    if (out.size() > MAX_PENDING_BYTES) {
      failed(new IOException("remote end reads too slowly"));
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
