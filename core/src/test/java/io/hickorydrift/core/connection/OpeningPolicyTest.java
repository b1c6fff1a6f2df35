package io.hickorydrift.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.connection.OpeningPolicy.Decision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OpeningPolicyTest {
  private static final int MAX = 4;

  @ParameterizedTest
  @CsvSource({
    // open, opening, waiting, pool full, waited ms: decision
    "0, 0, 1, false, 0, OPEN",
    "0, 1, 1, false, 0, WAIT",
    "0, 1, 2, false, 0, OPEN",
    "3, 1, 2, false, 0, WAIT",
    "0, 0, 1, true, 0, REPLACE",
    "1, 0, 1, true, 0, WAIT",
    "1, 0, 1, true, 40, REPLACE",
    "1, 0, 2, true, 0, REPLACE",
    "2, 1, 3, true, 10, WAIT",
  })
  void replacesOnlyWhatTheOwnConnectionsDoNotServeSoon(
      int open, int opening, int waiting, boolean full, long waitedMs, Decision expected) {
    OpeningPolicy.Demand demand = new OpeningPolicy.Demand(open, opening, waiting, MAX);
    assertThat(OpeningPolicy.decide(demand, full, waitedMs * 1_000_000)).isEqualTo(expected);
  }
}
