package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RecoveryPhaseTest {
  private static final long MS = 1_000_000L;

  private static RecoveryPhase afterOutage() {
    RecoveryPhase phase = new RecoveryPhase();
    phase.recordWaiting(0);
    phase.recordWaiting(4_000 * MS);
    phase.recordServed(true, 7_000 * MS);
    return phase;
  }

  /** Guards against a phase that outlasts the backlog. */
  @Test
  void endsWhenNothingWaits() {
    RecoveryPhase phase = afterOutage();
    assertThat(phase.isActive(7_000 * MS)).isTrue();
    phase.recordServed(false, 7_010 * MS);
    assertThat(phase.isActive(7_010 * MS)).isFalse();
    phase.recordWaiting(9_000 * MS);
    phase.recordServed(true, 9_010 * MS);
    assertThat(phase.isActive(9_010 * MS)).isFalse();
  }

  /** Guards against a lasting overload that is never refused on arrival again. */
  @Test
  void endsAfterTheLengthOfTheOutage() {
    RecoveryPhase phase = afterOutage();
    for (long ms = 7_010; ms < 14_000; ms += 10) {
      phase.recordServed(true, ms * MS);
      assertThat(phase.isActive(ms * MS)).isTrue();
    }
    phase.recordServed(true, 14_000 * MS);
    assertThat(phase.isActive(14_000 * MS)).isFalse();
  }

  /** Guards against a recovery without an outage: a target without requests is idle. */
  @Test
  void idleTimeAndShortPausesAreNoOutage() {
    RecoveryPhase phase = new RecoveryPhase();
    phase.recordServed(false, 0);
    phase.recordWaiting(60_000 * MS);
    phase.recordServed(true, 60_020 * MS);
    assertThat(phase.isActive(60_020 * MS)).isFalse();
    phase.recordServed(true, 61_020 * MS);
    assertThat(phase.isActive(61_020 * MS)).isFalse();
  }

  /** Guards against lost entries, and against another order outside the recovery. */
  @Test
  void readyOnesComeFirstInTheRecoveryOnly() {
    List<Integer> ordered = List.of(1, 2, 3, 4, 5);
    RecoveryPhase phase = afterOutage();
    assertThat(phase.serviceOrder(ordered, i -> i % 2 == 0, 7_000 * MS))
        .containsExactly(2, 4, 1, 3, 5);
    assertThat(phase.serviceOrder(ordered, i -> i % 2 == 0, 15_000 * MS))
        .containsExactly(1, 2, 3, 4, 5);
  }
}
