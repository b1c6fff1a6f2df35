package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Holds requests that arrive before this instance can serve them. Load pattern: all instances lose
 * power, and callers return before the instances have read the store and found each other. A caller
 * that is sent away for a fixed time returns long after that, or gives up.
 *
 * <p>Invariant: each request goes on exactly once, {@link #MAX_HOLD_MS} after its arrival at the
 * latest. Thread safety: confined to the loop's thread.
 */
final class StartHold {
  /** Maximum time for which a request is held; the shortest timeouts of callers are 600 ms. */
  static final long MAX_HOLD_MS = 400;

  /** Reason of the refusal of a request that was held in vain; the hold limits its repetitions. */
  static final String NOT_LOADED = "settings not loaded yet; retry in 200 ms";

  // An instance that does not serve by then lacks the store or its peers, which may take long.
  private static final long START_NANOS = 10_000_000_000L;
  private static final long CHECK_MS = 10;

  private record Held(BooleanSupplier servable, long untilNanos, Runnable action) {}

  private final EventLoop loop;
  private final BooleanSupplier loaded;
  private final long startNanos;
  private List<Held> requests = new ArrayList<>();

  /** Creates a hold; {@code loaded} tells whether all entries of the store have been applied. */
  StartHold(EventLoop loop, BooleanSupplier loaded) {
    this.loaded = loaded;
    this.loop = loop;
    startNanos = loop.nowNanos();
  }

  /** Returns whether all entries of the store have been applied. */
  boolean isLoaded() {
    return loaded.getAsBoolean();
  }

  private boolean isServable(BooleanSupplier servable) {
    return isLoaded() && servable.getAsBoolean();
  }

  /**
   * Runs {@code action} once {@code servable} holds after the load, or without it after the maximum
   * time.
   */
  void run(BooleanSupplier servable, Runnable action) {
    long nowNanos = loop.nowNanos();
    if (nowNanos - startNanos >= START_NANOS || isServable(servable)) {
      action.run();
      return;
    }
    if (requests.isEmpty()) {
      loop.after(CHECK_MS, this::check);
    }
    requests.add(new Held(servable, nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_MS), action));
  }

  private void check() {
    List<Held> due = new ArrayList<>();
    List<Held> rest = new ArrayList<>();
    for (Held each : requests) {
      boolean expired = each.untilNanos - loop.nowNanos() <= 0;
      (expired || isServable(each.servable) ? due : rest).add(each);
    }
    requests = rest;
    if (!rest.isEmpty()) {
      loop.after(CHECK_MS, this::check);
    }
    // An error in one of them must not end the others.
    due.forEach(each -> loop.after(0, each.action));
  }
}
