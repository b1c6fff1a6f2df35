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
 * Acquires, renews and releases the lease of this instance's slot in its failure domain's table in
 * the store.
 *
 * <p>Thread safety: confined to the control worker, except {@link #release}.
 */
final class SlotService {
  private static final String KEY_PREFIX = "slots/";
  private static final int MAX_CONFLICT_RETRIES = 5;
  private static final long MAX_CONFLICT_DELAY_MS = 20;

  private final Worker worker;
  private final PlatformClient platform;
  private final TimerService timer;
  private final String runId;
  private final String failureDomain;
  private final SlotLeaseSettings leaseSettings;
  private final Runnable onChange;
  private SlotLease lease;
  private int firstSlot;
  private int heldSlot = SlotLease.NO_SLOT;
  private boolean storeCallInFlight;
  private boolean released;
  private long nextRenewalNanos = Long.MIN_VALUE;

  SlotService(
      Worker worker,
      PlatformClient platform,
      TimerService timer,
      String runId,
      String failureDomain,
      SlotLeaseSettings leaseSettings,
      Runnable onChange) {
    this.worker = worker;
    this.platform = platform;
    this.timer = timer;
    this.runId = runId;
    this.failureDomain = failureDomain;
    this.leaseSettings = leaseSettings;
    this.onChange = onChange;
  }

  /** Sets the number of slots from the first settings that define it; later ones are ignored. */
  void applySettings(Settings settings) {
    Integer count = settings.slots().get(failureDomain);
    if (lease == null && count != null) {
      lease = new SlotLease(runId, count, settings.slotCount(), leaseSettings);
      firstSlot = settings.firstSlot(failureDomain);
    }
  }

  /** Returns the fleet-wide number of the slot whose share is usable, -1 for none. */
  int slot(long nowNanos) {
    return heldSlot >= 0 && share().usableFraction(nowNanos) > 0 ? firstSlot + heldSlot : -1;
  }

  SlotShare share() {
    return lease == null ? SlotShare.NONE : lease.share();
  }

  void tick(long nowNanos) {
    boolean tooEarly = nextRenewalNanos != Long.MIN_VALUE && nowNanos - nextRenewalNanos < 0;
    if (lease == null || storeCallInFlight || released || tooEarly) {
      return;
    }
    nextRenewalNanos = nowNanos + leaseSettings.renewIntervalNanos();
    renew(MAX_CONFLICT_RETRIES);
  }

  /** Releases the slot during a graceful shutdown. */
  CompletableFuture<Void> release() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    worker.submit(
        () -> {
          released = true;
          if (lease == null) {
            done.complete(null);
          } else {
            releaseOnce(MAX_CONFLICT_RETRIES, done);
          }
        });
    return done;
  }

  private void renew(int retriesLeft) {
    storeCallInFlight = true;
    platform
        .get(KEY_PREFIX + failureDomain)
        .whenComplete(
            (value, failure) -> worker.submit(() -> propose(value, failure, retriesLeft)));
  }

  private void propose(StoredValue value, Throwable failure, int retriesLeft) {
    storeCallInFlight = false;
    if (failure != null || released) {
      return;
    }
    int previousSlot = lease.slot();
    SlotTable proposal = lease.propose(table(value), System.nanoTime());
    updateHeldSlot(previousSlot);
    if (proposal == null) {
      return;
    }
    storeCallInFlight = true;
    platform
        .compareAndSwap(
            KEY_PREFIX + failureDomain, Json.write(proposal), value == null ? 0 : value.version())
        .whenComplete(
            (written, writeFailure) ->
                worker.submit(() -> onWriteResult(written, writeFailure, retriesLeft)));
  }

  private void onWriteResult(StoredValue written, Throwable failure, int retriesLeft) {
    storeCallInFlight = false;
    int previousSlot = lease.slot();
    if (written != null) {
      lease.proposalWritten();
      updateHeldSlot(previousSlot);
    } else if (failure == null) {
      lease.proposalConflicted();
      if (retriesLeft > 0) {
        storeCallInFlight = true;
        long delayMs = ThreadLocalRandom.current().nextLong(MAX_CONFLICT_DELAY_MS);
        timer.after(delayMs, () -> worker.submit(() -> renew(retriesLeft - 1)));
      }
    }
  }

  private void updateHeldSlot(int previousSlot) {
    if (lease.slot() >= 0) {
      heldSlot = lease.slot();
    }
    if (lease.slot() != previousSlot) {
      Logger.info("event=slot_changed domain={} slot={}", failureDomain, lease.slot());
    }
    onChange.run();
  }

  private void releaseOnce(int retriesLeft, CompletableFuture<Void> done) {
    platform
        .get(KEY_PREFIX + failureDomain)
        .whenComplete(
            (value, failure) ->
                worker.submit(
                    () -> {
                      SlotTable freed =
                          failure != null ? null : lease.release(table(value), System.nanoTime());
                      if (freed == null || retriesLeft <= 0) {
                        done.complete(null);
                        return;
                      }
                      platform
                          .compareAndSwap(
                              KEY_PREFIX + failureDomain, Json.write(freed), value.version())
                          .whenComplete((written, writeFailure) -> done.complete(null));
                    }));
  }

  private static SlotTable table(StoredValue value) {
    return value == null ? null : Json.read(value.value(), SlotTable.class);
  }
}
