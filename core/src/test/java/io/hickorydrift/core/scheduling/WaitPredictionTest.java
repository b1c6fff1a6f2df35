package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WaitPredictionTest {
  private static final long MS = 1_000_000L;

  private final WaitPrediction prediction = new WaitPrediction();

  private void serve(int count, long intervalMs, long fromMs) {
    for (int i = 0; i < count; i++) {
      prediction.recordServed(true, (fromMs + i * intervalMs) * MS);
    }
  }

  /** Guards against refusals before anything is known. */
  @Test
  void nothingIsPredictedAtFirst() {
    assertThat(prediction.waitNanos(100, MS)).isZero();
  }

  @Test
  void backlogTakesTheMeasuredIntervals() {
    serve(100, 5, 0);
    assertThat(prediction.waitNanos(9, 496 * MS)).isEqualTo(50 * MS);
  }

  /** Guards against time without waiting requests that is taken for slowness. */
  @Test
  void timeWithoutBacklogDoesNotCount() {
    serve(100, 5, 0);
    prediction.recordServed(false, 500 * MS);
    prediction.recordServed(true, 60_000 * MS);
    assertThat(prediction.waitNanos(9, 60_001 * MS)).isEqualTo(50 * MS);
  }

  /** Guards against one long pause after which everything is refused. */
  @Test
  void singlePauseCountsLittle() {
    serve(100, 5, 0);
    prediction.recordServed(true, 8_000 * MS);
    assertThat(prediction.waitNanos(9, 8_001 * MS)).isLessThan(160 * MS);
  }

  /** Guards against short retry delays while a target serves nothing. */
  @Test
  void targetThatServesNothingIsSlow() {
    serve(100, 5, 0);
    assertThat(prediction.waitNanos(9, 595 * MS)).isEqualTo(1_000 * MS);
    assertThat(prediction.waitNanos(9, 9_000 * MS)).isEqualTo(2_000 * MS);
  }
}
