package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FreedConnectionPolicyTest {
  private static final long MS = 1_000_000L;

  private static WaitingRequest request(int priority) {
    return new WaitingRequest("a", priority, 0, 0, 1_000 * MS, 1_000 * MS, MS);
  }

  /** Guards against starvation beside a flood, and against connections replaced for nothing. */
  @ParameterizedTest
  @CsvSource({
    // priorities of the first and the own request, own connections, fair share: makes room
    "0, 2, 1, 4, true",
    "1, 1, 5, 4, true",
    "1, 1, 4, 4, false",
    "2, 0, 1, 4, false",
    "1, 1, 1, 0, false",
  })
  void makesRoomForMoreUrgentWorkOrBeyondFairShare(
      int first, int own, int ownConnections, int fairShare, boolean expected) {
    assertThat(
            FreedConnectionPolicy.makesRoom(
                request(first), request(own), ownConnections, fairShare, 0))
        .isEqualTo(expected);
  }
}
