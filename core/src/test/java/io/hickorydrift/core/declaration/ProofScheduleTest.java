package io.hickorydrift.core.declaration;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.ProofSchedule.Ask;
import org.junit.jupiter.api.Test;

/** Guards against proofs that are too old when the store fails, and against needless calls. */
class ProofScheduleTest {
  private static final long INTERVAL_MS = 750;

  @Test
  void providerPollsWhenItsProofIsOldOrMissing() {
    assertThat(ProofSchedule.isPollDue(INTERVAL_MS, INTERVAL_MS)).isTrue();
    assertThat(ProofSchedule.isPollDue(-1, INTERVAL_MS)).isTrue();
    assertThat(ProofSchedule.isPollDue(INTERVAL_MS - 1, 10 * INTERVAL_MS)).isFalse();
  }

  @Test
  void pollsThatProveNothingAreNotRepeatedWithoutPause() {
    assertThat(ProofSchedule.isPollDue(-1, INTERVAL_MS - 1)).isFalse();
    assertThat(ProofSchedule.isPollDue(10 * INTERVAL_MS, INTERVAL_MS - 1)).isFalse();
  }

  @Test
  void peersAreAskedOnceTheyShouldHaveYoungerProofs() {
    assertThat(ProofSchedule.ask(0, 4_600)).isEqualTo(Ask.NONE);
    assertThat(ProofSchedule.ask(850, 3_750)).isEqualTo(Ask.NONE);
    assertThat(ProofSchedule.ask(851, 3_749)).isEqualTo(Ask.YOUNGEST);
    assertThat(ProofSchedule.ask(1_501, 3_099)).isEqualTo(Ask.ALL);
    assertThat(ProofSchedule.ask(4_600, 0)).as("keys have ended").isEqualTo(Ask.NONE);
    assertThat(ProofSchedule.ask(-1, 0)).as("no proof").isEqualTo(Ask.NONE);
  }
}
