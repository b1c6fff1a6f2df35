package io.hickorydrift.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Position;
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
  void primaryOfIdleGroupIsProbedLessOften() {
    assertThat(probes(machine.tick(1_000 * MS))).isEmpty();
  }

  @Test
  void suspicionByAnotherObserverTriggersFreshProbeAtOnce() {
    assertThat(probes(machine.onSuspicion(suspicion(TERM), 1_000 * MS)))
        .containsExactly(new FailoverAction.Probe("a", true));
  }

  @Test
  void repeatedSuspicionTriggersNoFurtherProbe() {
    machine.onSuspicion(suspicion(TERM), 1_000 * MS);
    machine.onProbeResult("a", healthy(), true, 1_001 * MS);
    assertThat(probes(machine.onSuspicion(suspicion(TERM), 1_100 * MS))).isEmpty();
  }

  private static boolean promotes(List<FailoverAction> actions) {
    return actions.stream().anyMatch(action -> action instanceof FailoverAction.Fence);
  }

  /** Answers of all targets, in a term without a primary. */
  private static FailoverStateMachine observerWithoutKnownPrimary(GroupView group) {
    FailoverStateMachine observer =
        new FailoverStateMachine("self", "d-1", group, FailoverSettings.STANDARD);
    observer.setObservers(List.of("self"));
    observer.onTermReserved(7);
    return observer;
  }

  @Test
  void observerThatKnowsNoOtherLeavesTimeForTheirHeartbeats() {
    GroupView started = new GroupView("g", List.of("a", "b", "c"));
    FailoverStateMachine observer = observerWithoutKnownPrimary(started);
    for (long nowMs = 0; nowMs < 1_500; nowMs += 50) {
      answerFromAllTargets(started, nowMs * MS);
      assertThat(promotes(observer.tick(nowMs * MS))).as("after %d ms", nowMs).isFalse();
    }
    answerFromAllTargets(started, 1_500 * MS);
    assertThat(promotes(observer.tick(1_500 * MS))).isTrue();
  }

  @Test
  void unknownPrimaryIsNotReplacedWhileAnotherAttemptMayBeUnderWay() {
    GroupView started = new GroupView("g", List.of("a", "b", "c"));
    FailoverStateMachine observer = observerWithoutKnownPrimary(started);
    observer.setObservers(List.of("self", "other"));
    long timeoutNanos = FailoverSettings.STANDARD.attemptTimeoutNanos();
    for (long nowNanos = 0; nowNanos <= timeoutNanos + 100 * MS; nowNanos += 50 * MS) {
      answerFromAllTargets(started, nowNanos);
      boolean promotes =
          promotes(observer.tick(nowNanos))
              || promotes(observer.onSuspicion(suspicion(1), nowNanos));
      assertThat(promotes).as("after %d ns", nowNanos).isEqualTo(nowNanos == timeoutNanos);
    }
  }

  private static void answerFromAllTargets(GroupView group, long nowNanos) {
    for (String target : List.of("a", "b", "c")) {
      Position start = new Position(0, 0);
      TargetAnswer answer =
          TargetAnswer.builder()
              .status(TargetStatus.OK)
              .term(1)
              .applied(start)
              .logged(start)
              .build();
      group.recordAnswer(target, answer, nowNanos);
    }
  }

  @Test
  void observerOfLowerRankWaitsForTheSuspicionOfTheFirst() {
    GroupView started = new GroupView("g", List.of("a", "b", "c"));
    FailoverStateMachine observer = observerWithoutKnownPrimary(started);
    observer.setObservers(List.of("first", "self", "other"));
    answerFromAllTargets(started, 0);
    observer.tick(0);
    long suspectsNanos = FailoverSettings.STANDARD.attemptTimeoutNanos();
    answerFromAllTargets(started, suspectsNanos);
    observer.tick(suspectsNanos);
    assertThat(promotes(observer.onSuspicion(suspicion(1), suspectsNanos + MS))).isFalse();
    assertThat(promotes(observer.tick(suspectsNanos + 60 * MS))).isFalse();
    assertThat(promotes(observer.tick(suspectsNanos + 200 * MS))).isTrue();
  }

  @Test
  void suspicionOfAnotherTermTriggersNoProbe() {
    assertThat(probes(machine.onSuspicion(suspicion(TERM - 1), 1_000 * MS))).isEmpty();
  }
}
