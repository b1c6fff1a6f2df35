package io.hickorydrift.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EvictionPolicyTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  /**
   * "large" asks ten times a second, "small" once, both for five seconds; "gone" once, long ago.
   */
  private static ConnectionEvictor used(EvictionPolicy policy) {
    ConnectionEvictor keeping = policy.newEvictor();
    keeping.recordUse("gone", 0);
    for (int i = 0; i < 50; i++) {
      keeping.recordUse("large", 60 * SECOND_NANOS + i * SECOND_NANOS / 10);
      if (i % 10 == 0) {
        keeping.recordUse("small", 60 * SECOND_NANOS + i * SECOND_NANOS / 10);
      }
    }
    return keeping;
  }

  @ParameterizedTest
  @CsvSource({
    "LEAST_RECENTLY_USED, large small gone, 0",
    "LEAST_EXPECTED_COST, large small gone, 2",
    "LEAST_EXPECTED_COST, large small, 1",
    "LEAST_EXPECTED_COST, large large large, 0",
    "LEAST_EXPECTED_COST, unknown large, 0",
    "PINNED_LARGE, large small gone, 2",
    "PINNED_LARGE, large large small, 0",
    "PINNED_LARGE, small, 0",
  })
  void closes(EvictionPolicy policy, String idle, int index) {
    List<String> organisations = List.of(idle.split(" "));
    assertThat(used(policy).selectVictim(organisations, 65 * SECOND_NANOS)).isEqualTo(index);
  }
}
