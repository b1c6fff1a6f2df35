package io.hickorydrift.core.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EvictionPolicyTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  /**
   * Returns an evictor after these requests: "large" at ten per second and "small" at one per
   * second, both for five seconds, and "gone" once, a minute earlier.
   */
  private static ConnectionEvictor usedEvictor(EvictionPolicy policy) {
    ConnectionEvictor evictor = policy.newEvictor();
    evictor.recordUse("gone", 0);
    for (int i = 0; i < 50; i++) {
      evictor.recordUse("large", 60 * SECOND_NANOS + i * SECOND_NANOS / 10);
      if (i % 10 == 0) {
        evictor.recordUse("small", 60 * SECOND_NANOS + i * SECOND_NANOS / 10);
      }
    }
    return evictor;
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
  void evictsTheExpectedConnection(EvictionPolicy policy, String idle, int index) {
    List<String> organisations = List.of(idle.split(" "));
    assertThat(usedEvictor(policy).selectVictim(organisations, 65 * SECOND_NANOS)).isEqualTo(index);
  }
}
