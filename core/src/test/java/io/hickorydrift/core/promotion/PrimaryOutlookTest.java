package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrimaryOutlookTest {
  private static final long MS = 1_000_000L;
  private final PrimaryOutlook outlook = new PrimaryOutlook();

  @Test
  void expectsNothingWhileThereIsPrimary() {
    assertThat(outlook.backInMs(5 * MS)).isZero();
  }

  @Test
  void countsDownAndLearns() {
    outlook.without(true, 0);
    long first = outlook.backInMs(0);
    assertThat(outlook.backInMs(500 * MS)).isEqualTo(first - 500);
    outlook.usable(400 * MS);
    outlook.without(true, 10_000 * MS);
    assertThat(outlook.backInMs(10_000 * MS)).isLessThan(first);
  }

  @Test
  void crashesAndPlannedChangesAreLearnedApart() {
    outlook.without(false, 0);
    outlook.usable(4_000 * MS);
    outlook.without(true, 10_000 * MS);
    assertThat(outlook.backInMs(10_000 * MS)).isLessThan(2_000);
  }

  @Test
  void overdueChangeIsNeverExpectedAtOnce() {
    outlook.without(false, 0);
    assertThat(outlook.backInMs(60_000 * MS)).isPositive();
  }
}
