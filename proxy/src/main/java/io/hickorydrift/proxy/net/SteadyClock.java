package io.hickorydrift.proxy.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Monotonic time that notices when the process did not run. The monotonic clock stands still while
 * a machine is suspended and the time of day goes on, so a difference between their steps is taken
 * as lost time, of unknown length.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SteadyClock {
  private static final long NANOS_PER_MS = 1_000_000L;
  // Above the rounding of both clocks; shorter suspensions are within every safety margin.
  private static final long TOLERANCE_MS = 40;

  private final List<Runnable> lossListeners = new ArrayList<>();
  private final LongSupplier monotonicNanos;
  private final LongSupplier timeOfDayMs;
  private long nowNanos;
  private long offsetMs;

  /** Reads the machine's clocks. */
  public SteadyClock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  SteadyClock(LongSupplier monotonicNanos, LongSupplier timeOfDayMs) {
    this.monotonicNanos = monotonicNanos;
    this.timeOfDayMs = timeOfDayMs;
    nowNanos = monotonicNanos.getAsLong();
    offsetMs = timeOfDayMs.getAsLong() - nowNanos / NANOS_PER_MS;
  }

  /** Returns the time of the last {@link #refresh}. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Calls {@code listener} whenever time may have been lost. */
  public void onClockPause(Runnable listener) {
    lossListeners.add(listener);
  }

  /** Reads the clocks and returns the monotonic time. */
  public long refresh() {
    nowNanos = monotonicNanos.getAsLong();
    long offset = timeOfDayMs.getAsLong() - nowNanos / NANOS_PER_MS;
    if (Math.abs(offset - offsetMs) > TOLERANCE_MS) {
      Logger.warn("event=time_lost difference_ms={}", offset - offsetMs);
      offsetMs = offset;
      lossListeners.forEach(Runnable::run);
    }
    return nowNanos;
  }
}
