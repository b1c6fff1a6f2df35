package io.hickorydrift.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
  private static final long MS = 1_000_000L;

  /** Guards against callers that return together. */
  @Test
  void refusedCallerIsToldItsTurn() {
    ReturnSchedule returns = new ReturnSchedule();
    for (int k = 1; k <= 40; k++) {
      assertThat(returns.nextMs(false, 0, 10, 0)).isEqualTo(100L * k);
    }
    assertThat(returns.nextMs(false, 0, 10, 4_000 * MS)).isEqualTo(100);
  }

  /** Guards against urgent callers that wait for the turns of others. */
  @Test
  void urgentCallersAreScheduledBehindUrgentOnesOnly() {
    ReturnSchedule returns = new ReturnSchedule();
    assertThat(returns.nextMs(false, 0, 10, 0)).isEqualTo(100);
    assertThat(returns.nextMs(false, 0, 10, 0)).isEqualTo(200);
    assertThat(returns.nextMs(true, 0, 10, 0)).isEqualTo(100);
    assertThat(returns.nextMs(true, 2, 10, 0)).isEqualTo(300);
    assertThat(returns.nextMs(false, 0, 10, 0)).isEqualTo(500);
  }

  /** Guards against delays that grow without bound in a long flood, or that overflow. */
  @Property(tries = 300, seed = "59")
  void delaysAreBounded(
      @ForAll long startNanos,
      @ForAll @IntRange(min = 0, max = 10_000) int queued,
      @ForAll @DoubleRange(min = 0.01, max = 10_000) double rate) {
    ReturnSchedule returns = new ReturnSchedule();
    for (int i = 0; i < 100; i++) {
      long delayMs = returns.nextMs(i % 3 == 0, queued, rate, startNanos + i * MS);
      assertThat(delayMs).isBetween(20L, 5_000L);
    }
  }
}
