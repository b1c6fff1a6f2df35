package io.hickorydrift.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.routing.GroupView;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FailoverStateMachineTest {
  private static final long MS = 1_000_000L;
  private static final long TERM = 4;

  private final GroupView view = new GroupView("g", List.of("a", "b", "c"));
  private final FailoverStateMachine machine =
      new FailoverStateMachine("self", "d-1", view, FailoverSettings.STANDARD);

  @BeforeEach
  void observeAnIdleGroup() {
    view.recordTerm(TERM, "a");
    machine.setObservers(List.of("other", "self"));
    machine.setInUse(false, 0);
    assertThat(probes(machine.tick(0))).containsExactly(new FailoverAction.Probe("a", false));
    machine.onProbeResult("a", healthy(), false, MS);
  }

  private static TargetAnswer healthy() {
    return TargetAnswer.builder().status(TargetStatus.OK).term(TERM).primary("a").build();
  }

  private static List<FailoverAction> probes(List<FailoverAction> actions) {
    return actions.stream().filter(action -> action instanceof FailoverAction.Probe).toList();
  }

  private static Suspicion suspicion(long term) {
    return new Suspicion("g", term, "other", "d-2", true);
  }

  @Test
  void idleGroupsAreLeftAlone() {
    assertThat(probes(machine.tick(1_000 * MS))).isEmpty();
  }

  @Test
  void anothersSuspicionIsCheckedAtOnce() {
    assertThat(probes(machine.onSuspicion(suspicion(TERM), 1_000 * MS)))
        .containsExactly(new FailoverAction.Probe("a", true));
  }

  @Test
  void repeatedSuspicionIsNotCheckedEachTime() {
    machine.onSuspicion(suspicion(TERM), 1_000 * MS);
    machine.onProbeResult("a", healthy(), true, 1_001 * MS);
    assertThat(probes(machine.onSuspicion(suspicion(TERM), 1_100 * MS))).isEmpty();
  }

  @Test
  void suspicionOfAnotherTermIsNotChecked() {
    assertThat(probes(machine.onSuspicion(suspicion(TERM - 1), 1_000 * MS))).isEmpty();
  }
}
