package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  /** What a group answers when each target works off one statement a step. */
  private static int servedAfterStall(boolean bounded) {
    RetryBudget budget = new RetryBudget();
    int waiting = 0;
    int served = 0;
    for (int step = 0; step < 2_000; step++) {
      boolean stalled = step < 100;
      int arrivals = step % 10 < 7 ? 1 : 0;
      for (int i = 0; i < arrivals; i++) {
        budget.deposit();
        boolean slow = waiting > 20;
        boolean repeat = slow && (!bounded || budget.tryWithdraw());
        waiting += repeat ? 2 : 1;
      }
      boolean work = !stalled && waiting > 0;
      waiting -= work ? 1 : 0;
      served += work && waiting < 60 ? 1 : 0;
    }
    return served;
  }

  @Test
  void loadThatRepeatsAfterStallDrainsOnlyWithBudget() {
    assertThat(servedAfterStall(false)).isLessThan(200);
    assertThat(servedAfterStall(true)).isGreaterThan(1_000);
  }

  @Property(tries = 200, seed = "7")
  void repeatsNeverExceedWhatWasEarned(@ForAll @Size(max = 300) boolean[] repeats) {
    RetryBudget budget = new RetryBudget();
    int tried = 0;
    int repeated = 0;
    for (boolean repeat : repeats) {
      if (repeat) {
        repeated += budget.tryWithdraw() ? 1 : 0;
      } else {
        tried++;
        budget.deposit();
      }
    }
    assertThat(repeated).isLessThanOrEqualTo(8 + (int) Math.ceil(tried * 0.1));
  }

  @Property(tries = 20, seed = "7")
  void stockIsBounded(@ForAll @IntRange(min = 100, max = 10_000) int tries) {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < tries; i++) {
      budget.deposit();
    }
    int repeated = 0;
    while (budget.tryWithdraw()) {
      repeated++;
    }
    assertThat(repeated).isEqualTo(8);
  }
}
