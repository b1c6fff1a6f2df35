package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SteadyClockTest {
  private long monotonicMs = 1_000_000;
  private long timeOfDayMs = 1_700_000_000_000L;
  private int pauses;

  @ParameterizedTest
  @CsvSource({
    "100,    100,    0", // running normally
    "100,    120,    0", // rounding and gradual adjustment
    "1,      4001,   1", // suspended for 4 s
    "100,    2500,   1", // time of day set forward
    "100,    -2300,  1", // time of day set back
    "60000,  60010,  0",
  })
  void reportsPauseWhenClocksDisagree(long monotonic, long timeOfDay, int expected) {
    SteadyClock clock = new SteadyClock(() -> monotonicMs * 1_000_000, () -> timeOfDayMs);
    clock.onClockPause(() -> pauses++);
    monotonicMs += monotonic;
    timeOfDayMs += timeOfDay;
    clock.refresh();
    clock.refresh();
    assertThat(pauses).isEqualTo(expected);
    assertThat(clock.nowNanos()).isEqualTo(monotonicMs * 1_000_000);
  }
}
