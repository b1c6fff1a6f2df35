package io.hickorydrift.proxy.runtime;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

/**
 * The instance's only time source. Subscribers receive ticks on the thread of their own worker.
 *
 * <p>Invariant: at most one tick of a subscription is queued in a ring. Thread safety: methods may
 * be called from any thread.
 */
public final class TimerService implements AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;

  /** Starts the timer thread. */
  public TimerService() {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "timer");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
  }

  /** Returns the monotonic time in nanoseconds. */
  public long nowNanos() {
    return System.nanoTime();
  }

  /** Calls {@code onTick} with the time on the thread of {@code worker}, every {@code periodMs}. */
  public void subscribe(Worker worker, long periodMs, LongConsumer onTick) {
    AtomicBoolean queued = new AtomicBoolean();
    Runnable event =
        () -> {
          queued.set(false);
          onTick.accept(nowNanos());
        };
    executor.scheduleAtFixedRate(
        () -> {
          if (queued.compareAndSet(false, true) && !worker.offer(event)) {
            queued.set(false);
          }
        },
        periodMs,
        periodMs,
        TimeUnit.MILLISECONDS);
  }

  /** Runs {@code event} on the timer's thread after {@code delayMs}; it must be short. */
  public ScheduledFuture<?> after(long delayMs, Runnable event) {
    return executor.schedule(event, delayMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
