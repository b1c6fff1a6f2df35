package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ImmediateRefusalTest {
  private static final long MS = 1_000_000L;
  private static final WaitingRequest REQUEST =
      new WaitingRequest("a", 0, 0, 0, 100 * MS, 400 * MS, 10 * MS);

  /** Guards against waits that cannot succeed, and against refusals of what could be served. */
  @ParameterizedTest
  @CsvSource({
    // predicted wait, statement timeout, time since the arrival, work queued: retry delay
    "50, 1000, 0, true, -1",
    "100, 1000, 0, true, -1",
    "101, 1000, 0, true, 76",
    "101, 1000, 0, false, -1",
    "325, 1000, 0, true, 300",
    "95, 100, 0, false, 70",
    "50, 100, 45, false, 25",
    "30, 100, 65, false, 20",
  })
  void refusesWhatWouldWaitForTooLong(
      long waitMs, long timeoutMs, long ageMs, boolean queued, long expectedMs) {
    assertThat(
            ImmediateRefusal.retryAfterMs(
                REQUEST, waitMs * MS, timeoutMs * MS, queued, 0.5, ageMs * MS))
        .isEqualTo(expectedMs);
  }

  /** Guards against a thousand refused callers that return at the same time. */
  @Test
  void retriesAreSpread() {
    int[] tenths = new int[10];
    for (int i = 0; i < 1_000; i++) {
      double hash = Rendezvous.unitHash("statement-" + i, "retry");
      long retryMs = ImmediateRefusal.retryAfterMs(REQUEST, 1_025 * MS, 2_000 * MS, true, hash, 0);
      assertThat(retryMs).isBetween(750L, 1_250L);
      tenths[(int) Math.min(9, (retryMs - 750) / 50)]++;
    }
    assertThat(Arrays.stream(tenths)).allMatch(count -> count > 50 && count < 150);
  }
}
