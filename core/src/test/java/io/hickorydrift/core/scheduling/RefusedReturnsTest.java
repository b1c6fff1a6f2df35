package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RefusedReturnsTest {
  private static final long MS = 1_000_000L;
  private static final long SLICE_MS = 100;

  private final RefusedReturns returns = new RefusedReturns();

  private long delayMs(int priority, long minDelayMs, long intervalMs, long nowMs) {
    return returns.delayMs(priority, minDelayMs, 1_000, intervalMs * MS, 0, nowMs * MS);
  }

  private static long mostInSlice(List<Long> delaysMs) {
    long most = 0;
    for (long from : delaysMs) {
      long count = delaysMs.stream().filter(ms -> ms >= from && ms < from + SLICE_MS).count();
      most = Math.max(most, count);
    }
    return most;
  }

  /** Guards against callers that return before the target can have served those before them. */
  @Test
  void callersReturnAtTheRateAtWhichTheTargetServes() {
    List<Long> delaysMs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      delaysMs.add(delayMs(0, 20, 15, 0));
    }
    assertThat(delaysMs).containsExactly(20L, 30L, 45L, 60L, 75L);
    assertThat(delayMs(0, 20, 15, 60)).as("after four of them returned").isEqualTo(30);
    assertThat(delayMs(0, 20, 15, 1_000)).as("after all returned").isEqualTo(20);
  }

  /** Guards against urgent callers that wait behind callers that are served after them. */
  @Test
  void urgentCallersAreScheduledBehindUrgentOnesOnly() {
    for (int i = 0; i < 10; i++) {
      delayMs(2, 1, 10, 0);
    }
    assertThat(delayMs(0, 1, 10, 0)).isEqualTo(10);
    assertThat(delayMs(1, 1, 10, 0)).isEqualTo(20);
    assertThat(delayMs(2, 1, 10, 0)).isEqualTo(130);
  }

  /** Guards against a second wave of callers whose turn would come too late for them. */
  @Test
  void thousandCallersReturnSpreadOverTheirTimeout() {
    for (long timeoutMs : new long[] {800, 1_500, 10_000}) {
      RefusedReturns each = new RefusedReturns();
      List<Long> delaysMs = new ArrayList<>();
      for (int i = 0; i < 1_000; i++) {
        delaysMs.add(each.delayMs(0, 20, timeoutMs, 2 * MS, 0.3, 0));
      }
      assertThat(mostInSlice(delaysMs)).as("timeout of %s ms", timeoutMs).isLessThanOrEqualTo(200);
      assertThat(delaysMs).allMatch(ms -> ms <= Math.min(timeoutMs, RefusedReturns.MAX_RETRY_MS));
    }
  }

  /** Guards against callers with a turn that are told to wait for longer than they can use. */
  @Test
  void turnComesWithinHalfOfTheTimeout() {
    for (int i = 1; i <= 45; i++) {
      assertThat(delayMs(0, 1, 10, 0)).isEqualTo(10L * i);
    }
    assertThat(delayMs(0, 1, 10, 0)).as("no turn within the limit").isBetween(450L, 1_000L);
  }

  /** Guards against one delay for all callers, whose statements have equal ids, without a rate. */
  @Test
  void callersReturnSpreadIfTheRateIsNotKnown() {
    List<Long> delaysMs = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      delaysMs.add(delayMs(0, 100, 0, 0));
    }
    assertThat(delaysMs).allMatch(ms -> ms >= 100 && ms <= 300);
    assertThat(mostInSlice(delaysMs)).isLessThanOrEqualTo(510);
    assertThat(delayMs(0, 400, 0, 0)).isBetween(400L, 500L);
    assertThat(delayMs(0, 900, 0, 0)).isEqualTo(900);
  }

  @Property(tries = 500, seed = "13")
  void delayIsWithinItsBounds(
      @ForAll @IntRange(max = 3) int priority,
      @ForAll @IntRange(min = 20, max = 5_000) int minDelayMs,
      @ForAll @IntRange(min = 50, max = 10_000) int timeoutMs,
      @ForAll @IntRange(max = 200) int intervalMs,
      @ForAll @DoubleRange(min = 0, max = 0.99) double unitHash,
      @ForAll @IntRange(min = 1, max = 200) int callers) {
    RefusedReturns each = new RefusedReturns();
    long beforeOverflowNanos = Long.MAX_VALUE - 50 * MS;
    long latestMs = Math.max(minDelayMs, Math.min(timeoutMs, RefusedReturns.MAX_RETRY_MS));
    for (int i = 0; i < callers; i++) {
      long nowNanos = beforeOverflowNanos + i * MS;
      long delayMs =
          each.delayMs(priority, minDelayMs, timeoutMs, intervalMs * MS, unitHash, nowNanos);
      assertThat(delayMs).isBetween((long) minDelayMs, latestMs);
    }
  }
}
