package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrimaryRecoveryEstimatorTest {
  private static final long MS = 1_000_000L;
  private final PrimaryRecoveryEstimator outlook = new PrimaryRecoveryEstimator();

  @Test
  void expectsNothingWhileThereIsPrimary() {
    assertThat(outlook.expectedRecoveryMs(5 * MS)).isZero();
  }

  @Test
  void countsDownAndLearns() {
    outlook.recordUnavailable(true, 0);
    long first = outlook.expectedRecoveryMs(0);
    assertThat(outlook.expectedRecoveryMs(500 * MS)).isEqualTo(first - 500);
    outlook.recordAvailable(400 * MS);
    outlook.recordUnavailable(true, 10_000 * MS);
    assertThat(outlook.expectedRecoveryMs(10_000 * MS)).isLessThan(first);
  }

  @Test
  void crashesAndPlannedChangesAreLearnedApart() {
    outlook.recordUnavailable(false, 0);
    outlook.recordAvailable(4_000 * MS);
    outlook.recordUnavailable(true, 10_000 * MS);
    assertThat(outlook.expectedRecoveryMs(10_000 * MS)).isLessThan(2_000);
  }

  @Test
  void overdueChangeIsNeverExpectedAtOnce() {
    outlook.recordUnavailable(false, 0);
    assertThat(outlook.expectedRecoveryMs(60_000 * MS)).isPositive();
  }
}
