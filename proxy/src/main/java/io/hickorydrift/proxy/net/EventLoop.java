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
 * The gateway's one thread: waits for the network and for timers, and runs what subscribed to them.
 * Everything written in one turn leaves with one system call for each connection.
 *
 * <p>Thread safety: confined to the thread in {@link #run}, but for {@link #post} and {@link
 * #stop}.
 */
public final class EventLoop {
  private static final int READ_BUFFER_BYTES = 64 * 1024;
  private static final int MAX_WAIT_MS = 1_000;

  /** A timer that can be cancelled. */
  public static final class Timer implements Comparable<Timer> {
    private final long dueNanos;
    private Runnable action;

    private Timer(long dueNanos, Runnable action) {
      this.dueNanos = dueNanos;
      this.action = action;
    }

    /** Keeps the timer from firing. */
    public void cancel() {
      action = null;
    }

    @Override
    public int compareTo(Timer other) {
      return Long.compare(dueNanos - other.dueNanos, 0);
    }
  }

  /** Reacts to the readiness of a channel. */
  interface SelectionHandler {
    void ready(SelectionKey key) throws IOException;

    void failed(Exception cause);
  }

  private final Selector selector;
  private final SteadyClock clock = new SteadyClock();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private final List<TcpChannel> unflushed = new ArrayList<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private volatile boolean stopped;

  /** Opens the selector. */
  public EventLoop() {
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the clock, read at least once in each turn. */
  public SteadyClock clock() {
    return clock;
  }

  /** Returns the time of the current turn in nanoseconds. */
  public long nowNanos() {
    return clock.nowNanos();
  }

  /** Runs {@code action} once after {@code delayMs}. */
  public Timer after(long delayMs, Runnable action) {
    Timer timer = new Timer(nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs), action);
    timers.add(timer);
    return timer;
  }

  /** Runs {@code action} every {@code periodMs}, counted from the end of each run. */
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

  /** Runs {@code action} on the loop's thread; may be called from any thread. */
  public void post(Runnable action) {
    posted.add(action);
    selector.wakeup();
  }

  /** Ends {@link #run} after the current turn; may be called from any thread. */
  public void stop() {
    stopped = true;
    selector.wakeup();
  }

  /** Runs until stopped. */
  public void run() throws IOException {
    runWhile(() -> true);
  }

  /** Runs until stopped, or until {@code condition} no longer holds after a turn. */
  public void runWhile(BooleanSupplier condition) throws IOException {
    while (!stopped && condition.getAsBoolean()) {
      flush();
      selector.select(this::ready, waitMs());
      clock.refresh();
      runPosted();
      runTimers();
    }
    flush();
  }

  private long waitMs() {
    Timer next = timers.peek();
    if (next == null) {
      return MAX_WAIT_MS;
    }
    long waitNanos = next.dueNanos - System.nanoTime();
    long waitMs = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
    return Math.max(1, Math.min(MAX_WAIT_MS, waitMs));
  }

  private void ready(SelectionKey key) {
    SelectionHandler target = (SelectionHandler) key.attachment();
    try {
      target.ready(key);
    } catch (IOException | RuntimeException e) {
      if (!(e instanceof IOException)) {
        Logger.error(e, "event=turn_failed");
      }
      guarded(() -> target.failed(e));
    }
  }

  private void runPosted() {
    for (Runnable action = posted.poll(); action != null; action = posted.poll()) {
      guarded(action);
    }
  }

  private void runTimers() {
    while (!timers.isEmpty() && timers.peek().dueNanos - clock.nowNanos() <= 0) {
      Timer timer = timers.poll();
      if (timer.action != null) {
        guarded(timer.action);
      }
    }
  }

  private static void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      Logger.error(e, "event=turn_failed");
    }
  }

  private void flush() {
    for (int i = 0; i < unflushed.size(); i++) {
      unflushed.get(i).flush();
    }
    unflushed.clear();
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
    unflushed.add(channel);
  }
}
