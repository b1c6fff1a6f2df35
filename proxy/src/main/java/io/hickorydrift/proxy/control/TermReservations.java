package io.hickorydrift.proxy.control;

import io.hickorydrift.core.message.GroupRecord;
import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.core.message.TermReservation;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.runtime.TimerService;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * Reserves terms in the groups' records in the store and publishes promotions there.
 *
 * <p>Invariant: a term is given out once, to one run of one instance: the record changes by
 * compare-and-swap only, its highest reserved term never falls, and a write whose answer was lost
 * gives out a term that nobody uses. Thread safety: safe.
 */
final class TermReservations {
  private static final String KEY_PREFIX = "groups/";
  private static final int TRIES = 5;
  private static final long RETRY_MS = 1_000;
  private static final int MAX_KEPT = 32;

  private final PlatformClient platform;
  private final TimerService timer;
  private final String run;

  TermReservations(PlatformClient platform, TimerService timer, String run) {
    this.platform = platform;
    this.timer = timer;
    this.run = run;
  }

  /** Reserves a term above {@code aboveTerm}; {@code reserved} gets it, or 0 if the try failed. */
  void reserve(String group, long aboveTerm, LongConsumer reserved) {
    reserve(group, aboveTerm, reserved, TRIES);
  }

  private void reserve(String group, long aboveTerm, LongConsumer reserved, int triesLeft) {
    platform
        .get(KEY_PREFIX + group)
        .whenComplete(
            (value, failure) -> {
              if (failure != null || triesLeft <= 0) {
                reserved.accept(0);
                return;
              }
              GroupRecord record = record(value);
              long term = Math.max(record.highestReserved(), aboveTerm) + 1;
              swap(group, value, withReservation(record, term))
                  .whenComplete(
                      (written, lost) -> {
                        if (written != null) {
                          reserved.accept(term);
                        } else if (lost != null) {
                          reserved.accept(0);
                        } else {
                          reserve(group, aboveTerm, reserved, triesLeft - 1);
                        }
                      });
            });
  }

  /** Writes a promotion to the record, again and again until the store takes it. */
  void publish(PrimaryNotice notice) {
    platform
        .get(KEY_PREFIX + notice.group())
        .whenComplete(
            (value, failure) -> {
              if (failure != null) {
                timer.after(RETRY_MS, () -> publish(notice));
                return;
              }
              GroupRecord record = record(value);
              if (record.term() >= notice.term()) {
                return;
              }
              swap(notice.group(), value, withPrimary(record, notice))
                  .whenComplete(
                      (written, lost) -> {
                        if (written == null) {
                          timer.after(RETRY_MS, () -> publish(notice));
                        }
                      });
            });
  }

  private CompletableFuture<StoredValue> swap(String group, StoredValue read, GroupRecord record) {
    long version = read == null ? 0 : read.version();
    return platform.compareAndSwap(KEY_PREFIX + group, Json.write(record), version);
  }

  private GroupRecord withReservation(GroupRecord record, long term) {
    List<TermReservation> kept = new ArrayList<>();
    for (TermReservation reservation : record.reservations()) {
      if (!reservation.owner().equals(run)) {
        kept.add(reservation);
      }
    }
    kept.add(new TermReservation(term, run));
    List<TermReservation> latest = kept.subList(Math.max(0, kept.size() - MAX_KEPT), kept.size());
    return new GroupRecord(record.term(), record.primary(), term, List.copyOf(latest));
  }

  private static GroupRecord withPrimary(GroupRecord record, PrimaryNotice notice) {
    List<TermReservation> kept = new ArrayList<>(record.reservations());
    kept.removeIf(reservation -> reservation.term() <= notice.term());
    return new GroupRecord(
        notice.term(), notice.primary(), Math.max(record.highestReserved(), notice.term()), kept);
  }

  private static GroupRecord record(StoredValue value) {
    return value == null
        ? new GroupRecord(0, null, 0, List.of())
        : Json.read(value.value(), GroupRecord.class);
  }
}
