package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.LogHolders;
import org.junit.jupiter.api.Test;

/** Guards against commits that count as received by more replicas than they were. */
class SyncReplicaDemandTest {
  private final SyncReplicaDemand demand = new SyncReplicaDemand();

  @Test
  void noneIsDemandedWhereNoneWasDeclared() {
    demand.record(0, 0);
    assertThat(demand.lowest()).isZero();
  }

  @Test
  void lowestNumberDeclaredLatelyCounts() {
    demand.record(1, 0);
    demand.record(2, 10);
    assertThat(demand.lowest()).isEqualTo(1);
    demand.record(2, LogHolders.RETURN_NANOS + 1);
    assertThat(demand.lowest()).isEqualTo(2);
  }

  @Test
  void numberCountsForSomeTimeAfterNoneIsDeclared() {
    demand.record(1, 0);
    demand.record(0, LogHolders.RETURN_NANOS);
    assertThat(demand.lowest()).isEqualTo(1);
    demand.record(0, LogHolders.RETURN_NANOS + 1);
    assertThat(demand.lowest()).isZero();
  }
}
