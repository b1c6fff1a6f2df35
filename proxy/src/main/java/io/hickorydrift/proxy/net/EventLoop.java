package io.hickorydrift.proxy.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * The gateway's only thread: waits for network events and timers, and runs their handlers.
 * Everything written in one iteration is sent with one system call for each connection.
 *
 * <p>Thread safety: confined to the thread in {@link #run}, except for {@link #post} and {@link
 * #stop}.
 */
public final class EventLoop implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int MAX_SELECT_MS = 1_000;
  // The rest of the heap is for everything else, and for the copies made while a message is read.
  private static final int UNREAD_SHARE_OF_HEAP = 4;

  /** A timer that can be cancelled. */
  public static final class Timer implements Comparable<Timer> {
    private final long dueNanos;
    private Runnable action;

    private Timer(long dueNanos, Runnable action) {
      this.dueNanos = dueNanos;
      this.action = action;
    }

    /** Prevents the timer from firing. */
    public void cancel() {
      action = null;
    }

    @Override
    public int compareTo(Timer other) {
      return Long.compare(dueNanos - other.dueNanos, 0);
    }
  }

  /** Handles the readiness of a channel. */
  interface SelectionHandler {
    void ready(SelectionKey key) throws IOException;

    void failed(Exception cause);
  }

  private final Selector selector;
  private final SteadyClock clock;
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Queue<Runnable> postedActions = new ConcurrentLinkedQueue<>();
  private final List<TcpChannel> unflushedChannels = new ArrayList<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
  private final long maxUnreadBytes = Runtime.getRuntime().maxMemory() / UNREAD_SHARE_OF_HEAP;
  private long unreadBytes;
  private volatile boolean stopped;

  /** Opens the selector. */
  public EventLoop() {
    this(new SteadyClock());
  }

  /** Opens the selector of an event loop whose timers follow {@code time}. */
  public EventLoop(ManualTime time) {
    this(new SteadyClock(time::nowNanos, time::timeOfDayMs));
  }

  private EventLoop(SteadyClock clock) {
    this.clock = clock;
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes all channels and the selector; the loop cannot run any more. */
  @Override
  public void close() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the clock, which is read at least once in each iteration. */
  public SteadyClock clock() {
    return clock;
  }

  /** Returns the monotonic time of the clock's last reading, in nanoseconds. */
  public long nowNanos() {
    return clock.nowNanos();
  }

  /** Runs {@code action} once after {@code delayMs}. */
  public Timer after(long delayMs, Runnable action) {
    Timer timer = new Timer(nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs), action);
    timers.add(timer);
    return timer;
  }

  /**
   * Runs {@code action} repeatedly, with a delay of {@code periodMs} between the end of one run and
   * the start of the next.
   */
  public void every(long periodMs, Runnable action) {
    after(
        periodMs,
        () -> {
          try {
            action.run();
          } finally {
            every(periodMs, action);
          }
        });
  }

  /** Runs {@code action} on the event loop's thread; may be called from any thread. */
  public void post(Runnable action) {
    postedActions.add(action);
    selector.wakeup();
  }

  /** Ends {@link #run} after the current iteration; may be called from any thread. */
  public void stop() {
    stopped = true;
    selector.wakeup();
  }

  /** Runs until stopped. */
  public void run() throws IOException {
    runWhile(() -> true);
  }

  /** Runs until stopped, or until {@code condition} does not hold after an iteration. */
  public void runWhile(BooleanSupplier condition) throws IOException {
    while (!stopped && condition.getAsBoolean()) {
      runOnce(selectTimeoutMs());
    }
    flush();
  }

  /**
   * Runs one iteration, which waits up to {@code maxWaitMs} for network events. Returns whether
   * there was any.
   */
  public boolean runOnce(long maxWaitMs) throws IOException {
    flush();
    final int events = selector.select(this::dispatch, Math.max(1, maxWaitMs));
    clock.refresh();
    runPosted();
    runTimers();
    return events > 0;
  }

  /** Returns the number of timers that have not fired, including cancelled ones. */
  public int timerCount() {
    return timers.size();
  }

  private long selectTimeoutMs() {
    Timer next = timers.peek();
    if (next == null) {
      return MAX_SELECT_MS;
    }
    long waitNanos = next.dueNanos - clock.readNanos();
    long waitMs = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
    return Math.max(1, Math.min(MAX_SELECT_MS, waitMs));
  }

  private void dispatch(SelectionKey key) {
    SelectionHandler handler = (SelectionHandler) key.attachment();
    try {
      handler.ready(key);
    } catch (IOException e) {
      runGuarded(() -> handler.failed(e));
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
      Logger.error(e, "event=callback_failed");
      runGuarded(() -> handler.failed(new IOException("internal error", e)));
    }
  }

  private void runPosted() {
    for (Runnable action = postedActions.poll(); action != null; action = postedActions.poll()) {
      runGuarded(action);
    }
  }

  private void runTimers() {
    while (!timers.isEmpty() && timers.peek().dueNanos - clock.nowNanos() <= 0) {
      Timer timer = timers.poll();
      if (timer.action != null) {
        runGuarded(timer.action);
      }
    }
  }

  private static void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError | LinkageError e) {
      // An error in one callback must not end the process, which serves all other sessions.
      Logger.error(e, "event=callback_failed");
    }
  }

  private void flush() {
    for (int i = 0; i < unflushedChannels.size(); i++) {
      runGuarded(unflushedChannels.get(i)::flush);
    }
    unflushedChannels.clear();
  }

  /** Adds to the memory that unfinished messages of all channels occupy. */
  void addUnreadBytes(long bytes) {
    unreadBytes += bytes;
  }

  /** Returns whether unfinished messages occupy more memory than they may. */
  boolean hasTooManyUnreadBytes() {
    return unreadBytes > maxUnreadBytes;
  }

  Selector selector() {
    return selector;
  }

  ByteBuffer readBuffer() {
    return readBuffer;
  }

  ByteBuffer writeBuffer() {
    return writeBuffer;
  }

  void flushLater(TcpChannel channel) {
    unflushedChannels.add(channel);
  }
}
