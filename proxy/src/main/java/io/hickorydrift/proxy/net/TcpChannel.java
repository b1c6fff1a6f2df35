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
  // The beginning of the next message, received with the end of one.
  private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;
  // Short messages are not accounted for, so that callers with normal requests are not affected by
  // those that send much.
  private static final int UNACCOUNTED_BYTES = 4 * 1024;
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
  private boolean writeBlocked;
  private boolean notifyWhenSent;
  private boolean discarding;
  private boolean readingPaused;
  private boolean remoteEnded;

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
    setUnread(null);
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

  /** Receives nothing until {@link #resumeReading}, so that the remote end has to wait. */
  public void pauseReading() {
    readingPaused = true;
    setInterest();
  }

  /** Receives again; bytes that were left unread are passed to the handler first. */
  public void resumeReading() {
    if (!readingPaused) {
      return;
    }
    readingPaused = false;
    setInterest();
    if (unread != null) {
      // Not at once, since the caller may be the handler itself.
      loop.after(0, this::deliverUnread);
    }
  }

  private void deliverUnread() {
    if (closed || readingPaused || discarding || unread == null) {
      return;
    }
    ByteBuffer in = unread.flip();
    setUnread(null);
    handler.received(in);
    if (!closed) {
      saveUnread(in);
    }
  }

  /** Calls {@link ChannelHandler#sent} when all bytes have been sent. */
  public void notifyWhenSent() {
    notifyWhenSent = true;
    out();
  }

  /** Returns the number of bytes that have not been sent. */
  public int unsentBytes() {
    return out.size();
  }

  /** Returns whether the remote end has closed its sending direction. */
  public boolean hasRemoteEnded() {
    return remoteEnded;
  }

  private void setInterest() {
    if (closed || key == null || key.interestOps() == SelectionKey.OP_CONNECT) {
      return;
    }
    boolean reads = !readingPaused && !remoteEnded;
    int writes = out.size() > 0 && writeBlocked ? SelectionKey.OP_WRITE : 0;
    key.interestOps((reads ? SelectionKey.OP_READ : 0) | writes);
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
      writeBlocked = false;
      setInterest();
      flush();
    }
    if (!closed && !readingPaused && !remoteEnded && selectedKey.isReadable()) {
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

  /**
   * Returns whether the connection is open and no byte has arrived that the handler was not given.
   * An arrived byte is lost, so that the connection can only be closed then.
   */
  public boolean isQuiet() {
    if (closed || unread != null) {
      return false;
    }
    try {
      // The buffer of the event loop may be in use.
      return socket.read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
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
      } else if (handler.continuesAfterRemoteEnd()) {
        remoteEnded = true;
        setInterest();
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
    ByteBuffer in = buffer;
    if (unread != null) {
      int lastUnread = unread.position() - 1;
      appendUnread(buffer);
      if (unread.position() <= handler.maxMessageBytes()
          && !handler.mayCompleteMessage(unread.duplicate().flip().position(lastUnread))) {
        exceedsMemory();
        return;
      }
      in = unread.flip();
      setUnread(null);
    }
    handler.received(in);
    if (closed) {
      return;
    }
    saveUnread(in);
  }

  /** Replaces the unread bytes and accounts for their memory. */
  private void setUnread(ByteBuffer newUnread) {
    loop.addUnreadBytes(accounted(newUnread) - accounted(unread));
    unread = newUnread;
  }

  private static long accounted(ByteBuffer buffer) {
    return buffer == null ? 0 : Math.max(0, buffer.capacity() - UNACCOUNTED_BYTES);
  }

  private boolean exceedsMemory() {
    if (accounted(unread) == 0 || !loop.hasTooManyUnreadBytes()) {
      return false;
    }
    failed(new IOException("too many unfinished messages"));
    return true;
  }

  private void appendUnread(ByteBuffer buffer) {
    int needed = unread.position() + buffer.remaining();
    if (needed > unread.capacity()) {
      int capacity = Math.max(needed, 2 * unread.capacity());
      setUnread(ByteBuffer.allocate(capacity).put(unread.flip()));
    }
    unread.put(buffer);
  }

  private void saveUnread(ByteBuffer in) {
    if (!in.hasRemaining()) {
      return;
    }
    if (in.remaining() > handler.maxMessageBytes() + MAX_READ_AHEAD_BYTES) {
      failed(new IOException("message too large"));
      return;
    }
    setUnread(ByteBuffer.allocate(in.remaining()).put(in));
    exceedsMemory();
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
          writeBlocked = true;
          setInterest();
          checkPendingBytes();
          return;
        }
      }
      if (notifyWhenSent) {
        notifyWhenSent = false;
        loop.after(0, this::notifySent);
      }
      if (closeWhenFlushed && !discarding) {
        discarding = true;
        socket.shutdownOutput();
        readingPaused = false;
        setInterest();
        loop.after(LINGERING_CLOSE_MS, this::close);
      }
    } catch (IOException e) {
      failed(e);
    }
  }

  private void notifySent() {
    if (!closed) {
      handler.sent();
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
