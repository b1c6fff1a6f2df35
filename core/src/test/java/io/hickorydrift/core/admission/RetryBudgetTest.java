package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  /**
   * Returns how many statements a group serves in time if each target serves one per step. The
   * group stalls for the first 100 steps, and a long queue makes callers send statements twice.
   */
  private static int servedAfterStall(boolean budgeted) {
    RetryBudget budget = new RetryBudget();
    int queued = 0;
    int served = 0;
    for (int step = 0; step < 2_000; step++) {
      boolean stalled = step < 100;
      int arrivals = step % 10 < 7 ? 1 : 0;
      for (int i = 0; i < arrivals; i++) {
        budget.deposit();
        boolean slow = queued > 20;
        boolean retry = slow && (!budgeted || budget.tryWithdraw());
        queued += retry ? 2 : 1;
      }
      boolean serves = !stalled && queued > 0;
      queued -= serves ? 1 : 0;
      served += serves && queued < 60 ? 1 : 0;
    }
    return served;
  }

  @Test
  void retriesAfterStallOverloadTheGroupUnlessBudgeted() {
    assertThat(servedAfterStall(false)).isLessThan(200);
    assertThat(servedAfterStall(true)).isGreaterThan(1_000);
  }

  @Property(tries = 200, seed = "7")
  void retriesNeverExceedDepositsAndInitialBalance(@ForAll @Size(max = 300) boolean[] retries) {
    RetryBudget budget = new RetryBudget();
    int deposits = 0;
    int withdrawn = 0;
    for (boolean retry : retries) {
      if (retry) {
        withdrawn += budget.tryWithdraw() ? 1 : 0;
      } else {
        deposits++;
        budget.deposit();
      }
    }
    assertThat(withdrawn).isLessThanOrEqualTo(8 + (int) Math.ceil(deposits * 0.1));
  }

  @Property(tries = 20, seed = "7")
  void balanceIsBounded(@ForAll @IntRange(min = 100, max = 10_000) int deposits) {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < deposits; i++) {
      budget.deposit();
    }
    int withdrawn = 0;
    while (budget.tryWithdraw()) {
      withdrawn++;
    }
    assertThat(withdrawn).isEqualTo(8);
  }
}
