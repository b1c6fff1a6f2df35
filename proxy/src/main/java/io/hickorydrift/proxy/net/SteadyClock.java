package io.hickorydrift.proxy.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * A monotonic clock that detects when the process was suspended. While a machine is suspended, the
 * monotonic clock stops and the time of day advances, so a change of the offset between them is
 * treated as a clock pause of unknown length.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SteadyClock {
  private static final long NANOS_PER_MS = 1_000_000L;
  // Above the rounding of both clocks; shorter pauses are within every safety margin.
  private static final long OFFSET_TOLERANCE_MS = 40;

  private final List<Runnable> pauseListeners = new ArrayList<>();
  private final LongSupplier monotonicNanos;
  private final LongSupplier timeOfDayMs;
  private long nowNanos;
  private long timeOfDayOffsetMs;

  /** Creates a clock that reads the system's clocks. */
  public SteadyClock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  SteadyClock(LongSupplier monotonicNanos, LongSupplier timeOfDayMs) {
    this.monotonicNanos = monotonicNanos;
    this.timeOfDayMs = timeOfDayMs;
    nowNanos = monotonicNanos.getAsLong();
    timeOfDayOffsetMs = timeOfDayMs.getAsLong() - nowNanos / NANOS_PER_MS;
  }

  /** Returns the monotonic time of the last {@link #refresh}. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the time of day of the last {@link #refresh}, in milliseconds since 1970. */
  public long timeOfDayMs() {
    return timeOfDayOffsetMs + nowNanos / NANOS_PER_MS;
  }

  /** Returns the monotonic time now, without checking for a pause. */
  long readNanos() {
    return monotonicNanos.getAsLong();
  }

  /** Calls {@code listener} whenever the process may have been suspended. */
  public void onClockPause(Runnable listener) {
    pauseListeners.add(listener);
  }

  /** Reads the clocks and returns the monotonic time. */
  public long refresh() {
    nowNanos = monotonicNanos.getAsLong();
    long offset = timeOfDayMs.getAsLong() - nowNanos / NANOS_PER_MS;
    if (Math.abs(offset - timeOfDayOffsetMs) > OFFSET_TOLERANCE_MS) {
      Logger.warn("event=clock_pause difference_ms={}", offset - timeOfDayOffsetMs);
      timeOfDayOffsetMs = offset;
      pauseListeners.forEach(SteadyClock::runGuarded);
    }
    return nowNanos;
  }

  private static void runGuarded(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException e) {
      // The other listeners have to drop what may have expired during the pause, too.
      Logger.error(e, "event=callback_failed");
    }
  }
}
