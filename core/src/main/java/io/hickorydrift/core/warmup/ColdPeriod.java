package io.hickorydrift.core.warmup;

import io.hickorydrift.core.directory.TargetEntry;
import java.util.concurrent.TimeUnit;

/**
 * When a target stops being cold, from its entries. The remaining time in an entry counts from when
 * the entry is first seen here; since an old entry may be seen late, the time since the start of
 * the target bounds it.
 *
 * <p>Thread safety: confined to one thread.
 */
final class ColdPeriod {
  // Clocks of machines that are kept in step by a time service differ by less.
  private static final long CLOCK_TOLERANCE_MS = 1_000;

  private long startedAtMs;
  private long sequence;
  private long endNanos;
  private boolean known;

  /**
   * Notes {@code entry} unless it is already known.
   *
   * @param coldDurationMs longest time for which the target is cold after its start; 0 if unknown
   * @param timeOfDayMs time of day, in milliseconds since 1970
   */
  void note(TargetEntry entry, long coldDurationMs, long nowNanos, long timeOfDayMs) {
    if (known && startedAtMs == entry.startedAtMs() && sequence == entry.sequence()) {
      return;
    }
    known = true;
    startedAtMs = entry.startedAtMs();
    sequence = entry.sequence();
    long remainingMs = entry.coldRemainingMs();
    if (coldDurationMs > 0) {
      remainingMs = Math.min(remainingMs, coldDurationMs);
      if (startedAtMs > 0) {
        long sinceStartMs = timeOfDayMs - startedAtMs;
        remainingMs = Math.min(remainingMs, coldDurationMs + CLOCK_TOLERANCE_MS - sinceStartMs);
      }
    }
    endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, remainingMs));
  }

  long endNanos() {
    return endNanos;
  }
}
