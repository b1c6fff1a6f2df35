package io.hickorydrift.proxy.net;

import java.util.ArrayList;
import java.util.List;

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
  private long nowNanos = System.nanoTime();
  private long offsetMs = System.currentTimeMillis() - nowNanos / NANOS_PER_MS;

  /** Returns the time of the last {@link #refresh}. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Calls {@code listener} whenever time may have been lost. */
  public void onLostTime(Runnable listener) {
    lossListeners.add(listener);
  }

  /** Reads the clocks and returns the monotonic time. */
  public long refresh() {
    nowNanos = System.nanoTime();
    long offset = System.currentTimeMillis() - nowNanos / NANOS_PER_MS;
    if (Math.abs(offset - offsetMs) > TOLERANCE_MS) {
      offsetMs = offset;
      lossListeners.forEach(Runnable::run);
    }
    return nowNanos;
  }
}
