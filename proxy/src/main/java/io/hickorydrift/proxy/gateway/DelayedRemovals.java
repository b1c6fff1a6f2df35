package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Removals of entries that vanished from the store while it was away or in a restore. Each waits
 * for the entry to be written again.
 *
 * <p>Invariant: at most one removal is pending for a key. Thread safety: confined to the loop's
 * thread.
 */
final class DelayedRemovals {
  private final EventLoop loop;
  private final Map<String, EventLoop.Timer> timers = new HashMap<>();

  DelayedRemovals(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs {@code removal} after {@code delayMs}, unless a removal of {@code key} is pending. */
  void schedule(String key, long delayMs, Runnable removal) {
    timers.computeIfAbsent(
        key,
        pending ->
            loop.after(
                delayMs,
                () -> {
                  timers.remove(key);
                  removal.run();
                }));
  }

  /** Cancels the removal of {@code key}, and returns whether one was pending. */
  boolean cancel(String key) {
    EventLoop.Timer timer = timers.remove(key);
    if (timer != null) {
      timer.cancel();
    }
    return timer != null;
  }

  /** Returns the keys whose removals are pending. */
  Set<String> pending() {
    return timers.keySet();
  }
}
