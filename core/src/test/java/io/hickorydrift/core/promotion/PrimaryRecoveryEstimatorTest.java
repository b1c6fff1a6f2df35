package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrimaryRecoveryEstimatorTest {
  private static final long MS = 1_000_000L;
  private final PrimaryRecoveryEstimator estimator = new PrimaryRecoveryEstimator();

  @Test
  void returnsZeroWhilePrimaryIsUsable() {
    assertThat(estimator.expectedRecoveryMs(5 * MS)).isZero();
  }

  @Test
  void countsDownAndLearnsFromEarlierOutages() {
    estimator.recordUnavailable(true, 0);
    long first = estimator.expectedRecoveryMs(0);
    assertThat(estimator.expectedRecoveryMs(500 * MS)).isEqualTo(first - 500);
    estimator.recordAvailable(400 * MS);
    estimator.recordUnavailable(true, 10_000 * MS);
    assertThat(estimator.expectedRecoveryMs(10_000 * MS)).isLessThan(first);
  }

  @Test
  void failuresDoNotAffectEstimatesOfPlannedChanges() {
    estimator.recordUnavailable(false, 0);
    estimator.recordAvailable(4_000 * MS);
    estimator.recordUnavailable(true, 10_000 * MS);
    assertThat(estimator.expectedRecoveryMs(10_000 * MS)).isLessThan(2_000);
  }

  @Test
  void overdueRecoveryIsNeverExpectedImmediately() {
    estimator.recordUnavailable(false, 0);
    assertThat(estimator.expectedRecoveryMs(60_000 * MS)).isPositive();
  }
}
