package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.scheduling.IdleTransactionLimits.Held;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdleTransactionLimitsTest {
  private static final long MS = 1_000_000L;
  private static final int BUDGET = 40;

  private static List<Held<Integer>> held(int count, int organisations, long idleMs) {
    List<Held<Integer>> held = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      held.add(new Held<>("o" + i % organisations, (1_000 - idleMs + i) * MS, i));
    }
    return held;
  }

  /** Guards against connections that are all held by idle transactions of many organisations. */
  @Test
  void oldestBeyondHalfAreSelected() {
    assertThat(IdleTransactionLimits.excess(held(23, 23, 800), BUDGET, 1_000 * MS))
        .containsExactly(0, 1, 2);
  }

  /** Guards against one organisation that holds what belongs to ten. */
  @Test
  void oldestBeyondTenthOfOneOrganisationAreSelected() {
    assertThat(IdleTransactionLimits.excess(held(6, 1, 800), BUDGET, 1_000 * MS))
        .containsExactly(0, 1);
    assertThat(IdleTransactionLimits.excess(held(3, 1, 800), 5, 1_000 * MS)).containsExactly(0);
  }

  /** Guards against the end of transactions whose callers pause as usual. */
  @Test
  void shortPausesAreNotSelected() {
    assertThat(IdleTransactionLimits.excess(held(40, 1, 500), BUDGET, 1_000 * MS)).isEmpty();
  }
}
