package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.limit.SlotLease;
import io.hickorydrift.core.limit.SlotLeaseSettings;
import io.hickorydrift.core.limit.SlotShare;
import io.hickorydrift.core.message.SlotTable;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * Holds this instance's slot of its failure domain's table in the store.
 *
 * <p>Thread safety: confined to the control duty, but for {@link #release}.
 */
final class SlotService {
  private static final String KEY_PREFIX = "slots/";
  private static final int CONFLICT_TRIES = 5;
  private static final long CONFLICT_PAUSE_MS = 20;

  private final Worker duty;
  private final PlatformClient platform;
  private final TimerService timer;
  private final String run;
  private final String failureDomain;
  private final SlotLeaseSettings times;
  private final Runnable onChange;
  private SlotLease keeper;
  private int firstSlot;
  private int heldSlot = SlotLease.NO_SLOT;
  private boolean busy;
  private boolean released;
  private long nextNanos = Long.MIN_VALUE;

  SlotService(
      Worker duty,
      PlatformClient platform,
      TimerService timer,
      String run,
      String failureDomain,
      SlotLeaseSettings times,
      Runnable onChange) {
    this.duty = duty;
    this.platform = platform;
    this.timer = timer;
    this.run = run;
    this.failureDomain = failureDomain;
    this.times = times;
    this.onChange = onChange;
  }

  /** Takes the number of slots from the settings; the first settings that have one decide. */
  void applySettings(Settings settings) {
    Integer count = settings.slots().get(failureDomain);
    if (keeper == null && count != null) {
      keeper = new SlotLease(run, count, settings.slotCount(), times);
      firstSlot = settings.firstSlot(failureDomain);
    }
  }

  /** Returns the fleet-wide number of the slot whose share is still usable, -1 for none. */
  int slot(long nowNanos) {
    return heldSlot >= 0 && share().usableFraction(nowNanos) > 0 ? firstSlot + heldSlot : -1;
  }

  SlotShare share() {
    return keeper == null ? SlotShare.NONE : keeper.share();
  }

  void tick(long nowNanos) {
    boolean early = nextNanos != Long.MIN_VALUE && nowNanos - nextNanos < 0;
    if (keeper == null || busy || released || early) {
      return;
    }
    nextNanos = nowNanos + times.renewIntervalNanos();
    renew(CONFLICT_TRIES);
  }

  /** Gives the slot back at a graceful stop. */
  CompletableFuture<Void> release() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    duty.submit(
        () -> {
          released = true;
          if (keeper == null) {
            done.complete(null);
          } else {
            releaseOnce(CONFLICT_TRIES, done);
          }
        });
    return done;
  }

  private void renew(int triesLeft) {
    busy = true;
    platform
        .get(KEY_PREFIX + failureDomain)
        .whenComplete((value, failure) -> duty.submit(() -> propose(value, failure, triesLeft)));
  }

  private void propose(StoredValue value, Throwable failure, int triesLeft) {
    busy = false;
    if (failure != null || released) {
      return;
    }
    int before = keeper.slot();
    SlotTable proposal = keeper.propose(table(value), System.nanoTime());
    noteHeld(before);
    if (proposal == null) {
      return;
    }
    busy = true;
    platform
        .compareAndSwap(
            KEY_PREFIX + failureDomain, Json.write(proposal), value == null ? 0 : value.version())
        .whenComplete(
            (written, writeFailure) ->
                duty.submit(() -> swapped(written, writeFailure, triesLeft)));
  }

  private void swapped(StoredValue written, Throwable failure, int triesLeft) {
    busy = false;
    int before = keeper.slot();
    if (written != null) {
      keeper.proposalWritten();
      noteHeld(before);
    } else if (failure == null) {
      keeper.proposalConflicted();
      if (triesLeft > 0) {
        busy = true;
        long pauseMs = ThreadLocalRandom.current().nextLong(CONFLICT_PAUSE_MS);
        timer.after(pauseMs, () -> duty.submit(() -> renew(triesLeft - 1)));
      }
    }
  }

  private void noteHeld(int before) {
    if (keeper.slot() >= 0) {
      heldSlot = keeper.slot();
    }
    if (keeper.slot() != before) {
      Logger.info("event=slot_changed domain={} slot={}", failureDomain, keeper.slot());
    }
    onChange.run();
  }

  private void releaseOnce(int triesLeft, CompletableFuture<Void> done) {
    platform
        .get(KEY_PREFIX + failureDomain)
        .whenComplete(
            (value, failure) ->
                duty.submit(
                    () -> {
                      SlotTable freed =
                          failure != null ? null : keeper.release(table(value), System.nanoTime());
                      if (freed == null || triesLeft <= 0) {
                        done.complete(null);
                        return;
                      }
                      platform
                          .compareAndSwap(
                              KEY_PREFIX + failureDomain, Json.write(freed), value.version())
                          .whenComplete((written, lost) -> done.complete(null));
                    }));
  }

  private static SlotTable table(StoredValue value) {
    return value == null ? null : Json.read(value.value(), SlotTable.class);
  }
}
