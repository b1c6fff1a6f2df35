package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HoldPolicyTest {
  @ParameterizedTest
  @CsvSource({
    // timeout, usable target, recovery, elapsed: refused after
    "800, true, 0, 0, -1",
    "800, true, 2500, 100, -1",
    "800, true, 0, 320, 100",
    "800, false, 2500, 0, 2500",
    "800, false, 200, 0, -1",
    "800, false, 200, 350, -1",
    "800, false, 200, 400, 200",
    "800, false, 600, 0, 600",
    "2000, false, 1300, 0, -1",
    "2000, false, 1300, 200, 1300",
    "5000, true, 0, 400, 100",
  })
  void holdsOnlyWhatMayStillBeServed(
      long timeoutMs, boolean usable, long recoveryMs, long elapsedMs, long expected) {
    assertThat(new HoldPolicy(timeoutMs).refuseAfterMs(usable, recoveryMs, elapsedMs))
        .isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({"800, 320", "500, 200", "5000, 400"})
  void holdLeavesTimeForAnotherAttempt(long timeoutMs, long holdMs) {
    assertThat(new HoldPolicy(timeoutMs).holdMs()).isEqualTo(holdMs);
  }
}
