package io.hickorydrift.proxy.net;

import java.util.concurrent.TimeUnit;

/**
 * Time that passes only when it is advanced. An {@link EventLoop} on it runs stand-ins whose delays
 * and leases do not depend on the load of the machine.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class ManualTime {
  private long nowNanos;
  private long suspendedMs;

  /** Advances the time by {@code ms}. */
  public void advanceMs(long ms) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** Advances the time of day only, as a suspension of the process for {@code ms} does. */
  public void suspendMs(long ms) {
    suspendedMs += ms;
  }

  long nowNanos() {
    return nowNanos;
  }

  long timeOfDayMs() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos) + suspendedMs;
  }
}
