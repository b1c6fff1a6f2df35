package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdmissionPolicyTest {
  private static final long MS = 1_000_000L;
  private static final Arrival ARRIVAL = new Arrival(10 * MS, 100 * MS, 1_000 * MS);

  private static Backlog backlog(long allMs, long ownMs, int organisations) {
    return new Backlog(9, allMs * MS, ownMs * MS, organisations, 2);
  }

  @ParameterizedTest
  @CsvSource({"0, true", "1700, true", "1900, false"})
  void forecastKeepsWithinTheDeadline(long allMs, boolean admitted) {
    assertThat(new DeadlineAdmission().admits(ARRIVAL, backlog(allMs, allMs, 1), 0))
        .isEqualTo(admitted);
  }

  @ParameterizedTest
  @CsvSource({"9, true", "10, false"})
  void fixedQueueCounts(int limit, boolean refused) {
    assertThat(new QueueLengthAdmission(limit).admits(ARRIVAL, backlog(1, 1, 1), 0))
        .isEqualTo(!refused);
  }

  @Test
  void shortBurstIsLetInAndStandingQueueIsNot() {
    AdmissionPolicy admission = new StandingQueueAdmission();
    assertThat(admission.admits(ARRIVAL, backlog(400, 400, 1), 0)).isTrue();
    assertThat(admission.admits(ARRIVAL, backlog(400, 400, 1), 100 * MS)).isTrue();
    assertThat(admission.admits(ARRIVAL, backlog(400, 400, 1), 200 * MS)).isFalse();
    assertThat(admission.admits(ARRIVAL, backlog(100, 100, 1), 210 * MS)).isTrue();
    assertThat(admission.admits(ARRIVAL, backlog(400, 400, 1), 220 * MS)).isTrue();
  }

  @Test
  void smallOrganisationIsLetInDuringAnothersFlood() {
    AdmissionPolicy admission = new StandingQueueAdmission();
    admission.admits(ARRIVAL, backlog(400, 390, 2), 0);
    assertThat(admission.admits(ARRIVAL, backlog(400, 10, 2), 200 * MS)).isTrue();
    assertThat(admission.admits(ARRIVAL, backlog(400, 390, 2), 210 * MS)).isFalse();
  }
}
