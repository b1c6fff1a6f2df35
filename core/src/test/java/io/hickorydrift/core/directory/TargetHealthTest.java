package io.hickorydrift.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.TargetHealth.Outcome;
import io.hickorydrift.core.directory.TargetHealth.State;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against targets that are passed over without evidence, for too long, or all at once. */
class TargetHealthTest {
  private static final long MS = 1_000_000;
  private static final Position POSITION = new Position(1, 1);

  private Directory directory = new Directory(target -> {});
  private final ReadPlacement placement = new ReadPlacement("d", Regions.NONE);

  private TargetState add(String id, boolean primary) {
    directory.put(
        new TargetEntry(id, "g", "host:" + id, "d", 4, false, primary, 1, 1),
        new StorePosition(0, 1));
    return directory.group("g").targets().stream()
        .filter(target -> target.entry().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private void update(long ms) {
    OutlierEjection.update(directory.group("g"), ms * MS);
  }

  private static void record(TargetState target, Outcome outcome, int count, long ms) {
    for (int i = 0; i < count; i++) {
      target.health().record(outcome, ms * MS);
    }
  }

  private TargetState choose(long ms) {
    return choose(Set.of(), ms);
  }

  /** Chooses a target after an evaluation of the outcomes, which the gateway makes on its tick. */
  private TargetState choose(Set<String> tried, long ms) {
    update(ms);
    return placement.choose(
        directory.group("g"), "red", POSITION, tried, any -> true, any -> true, ms * MS);
  }

  @Test
  void nothingIsConcludedFromThreeOutcomes() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 3, 0);
    update(10);
    assertThat(bad.health().state()).isEqualTo(State.HEALTHY);
    record(bad, Outcome.SUCCESS, 1, 10);
    update(10);
    assertThat(bad.health().state()).isEqualTo(State.PASSED_OVER);
  }

  @Test
  void outcomesOlderThanTwoSecondsDoNotCount() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.FAILURE, 100, -2_001);
    record(bad, Outcome.SUCCESS, 4, 0);
    update(0);
    assertThat(bad.health().state()).isEqualTo(State.HEALTHY);
  }

  @Test
  void refusalsCountHalf() {
    TargetState busy = add("busy", false);
    add("good", false);
    record(busy, Outcome.SUCCESS, 7, 0);
    record(busy, Outcome.REFUSAL, 3, 0);
    update(0);
    assertThat(busy.health().state()).isEqualTo(State.HEALTHY);
    record(busy, Outcome.REFUSAL, 2, 0);
    update(0);
    assertThat(busy.health().state()).isEqualTo(State.PASSED_OVER);
  }

  @Test
  void answerThatCameLateIsNoFailure() {
    TargetState slow = add("slow", false);
    add("good", false);
    record(slow, Outcome.NO_ANSWER, 8, 100);
    update(100);
    assertThat(slow.health().isPassedOver()).isTrue();
    for (int i = 0; i < 8; i++) {
      slow.health().recordLateSuccess(100 * MS, 90 * MS);
    }
    update(100);
    assertThat(slow.health().state()).isEqualTo(State.RETURNING);
  }

  @Test
  void oneReadInEachQuarterSecondProbes() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    int probes = 0;
    for (int ms = 0; ms < 1_000; ms += 10) {
      if (choose(ms) == bad) {
        record(bad, Outcome.NO_ANSWER, 1, ms);
        probes++;
      }
    }
    assertThat(probes).isEqualTo(3);
    assertThat(bad.health().state()).isEqualTo(State.PROBING);
  }

  /** Guards against a second failure of the same read. */
  @Test
  void readThatIsTriedAgainDoesNotProbe() {
    TargetState bad = add("bad", false);
    final TargetState good = add("good", false);
    add("other", true);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    for (int i = 0; i < 3; i++) {
      assertThat(choose(300)).isSameAs(good);
    }
    assertThat(choose(Set.of("other"), 300)).isSameAs(good);
    assertThat(choose(300)).isSameAs(bad);
  }

  /** Guards against few reads that all go to the target that fails. */
  @Test
  void atMostOneReadInFourProbes() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    int probes = 0;
    for (int second = 1; second <= 40; second++) {
      probes += choose(second * 1_000) == bad ? 1 : 0;
    }
    assertThat(probes).isEqualTo(10);
  }

  /** Guards against a target that returns because nothing was sent there for a while. */
  @Test
  void targetWithoutOutcomesStaysPassedOver() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    record(bad, Outcome.SUCCESS, 3, 500);
    update(10_000);
    assertThat(bad.health().isPassedOver()).isTrue();
    record(bad, Outcome.SUCCESS, 1, 10_000);
    update(10_000);
    assertThat(bad.health().state()).isEqualTo(State.RETURNING);
  }

  /** Guards against probes that are late because a few reads arrived close together. */
  @Test
  void unevenReadsProbeInEachQuarterSecond() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    for (int i = 0; i < 8; i++) {
      assertThat(choose(200)).isNotSameAs(bad);
    }
    assertThat(choose(250)).isSameAs(bad);
    assertThat(choose(500)).isSameAs(bad);
    assertThat(choose(750)).isNotSameAs(bad);
  }

  /** Guards against a target that returns while it fails, because it succeeded often before. */
  @Test
  void targetWhoseLastStatementFailedStaysPassedOver() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    record(bad, Outcome.SUCCESS, 100, 300);
    record(bad, Outcome.NO_ANSWER, 1, 400);
    update(400);
    assertThat(bad.health().isPassedOver()).isTrue();
    record(bad, Outcome.SUCCESS, 1, 500);
    update(500);
    assertThat(bad.health().state()).isEqualTo(State.RETURNING);
  }

  /** Guards against a target that gets all reads because it was avoided while it failed. */
  @Test
  void targetThatFailsFourTimesInReturnIsPassedOver() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    record(bad, Outcome.SUCCESS, 100, 300);
    update(300);
    record(bad, Outcome.NO_ANSWER, 3, 400);
    update(400);
    assertThat(bad.health().state()).isEqualTo(State.RETURNING);
    record(bad, Outcome.NO_ANSWER, 1, 450);
    update(450);
    assertThat(bad.health().state()).isEqualTo(State.PASSED_OVER);
  }

  /** Guards against a return that is broken off although no statement failed in it. */
  @Test
  void targetWhoseOldSuccessesLeaveTheWindowKeepsReturning() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.SUCCESS, 10, -1_500);
    record(bad, Outcome.NO_ANSWER, 3, 0);
    update(0);
    record(bad, Outcome.SUCCESS, 4, 100);
    update(240);
    assertThat(bad.health().state()).isEqualTo(State.RETURNING);
    update(600);
    assertThat(bad.health().state()).isEqualTo(State.RETURNING);
    record(bad, Outcome.FAILURE, 1, 650);
    update(650);
    assertThat(bad.health().state()).isEqualTo(State.PASSED_OVER);
  }

  /** Guards against capacity that is lost while the other targets cannot run all reads. */
  @Test
  void targetThatIsPassedOverRelievesLoadedTargetsAfterThreeSuccesses() {
    TargetState bad = add("bad", false);
    final TargetState good = add("good", false);
    record(bad, Outcome.NO_ANSWER, 40, 0);
    good.health().recordSuccess(20 * MS, 0);
    update(0);
    for (int i = 0; i < 8; i++) {
      good.recordSent();
    }
    bad.health().recordSuccess(10 * MS, 50 * MS);
    bad.health().recordSuccess(10 * MS, 60 * MS);
    assertThat(readsOf(bad, 100)).isZero();
    bad.health().recordSuccess(10 * MS, 70 * MS);
    assertThat(bad.health().isPassedOver()).isTrue();
    assertThat(readsOf(bad, 100)).isPositive();
    record(bad, Outcome.NO_ANSWER, 1, 110);
    assertThat(readsOf(bad, 120)).isZero();
  }

  /** Guards against reads that a target with free slots could run and that are risked elsewhere. */
  @Test
  void targetThatIsPassedOverRelievesNoTargetWithFreeSlots() {
    TargetState bad = add("bad", false);
    final TargetState good = add("good", false);
    record(bad, Outcome.NO_ANSWER, 40, 0);
    good.health().recordSuccess(20 * MS, 0);
    update(0);
    for (int i = 0; i < 3; i++) {
      good.recordSent();
      bad.health().recordSuccess(10 * MS, 50 * MS);
    }
    assertThat(readsOf(bad, 100)).isZero();
  }

  /** Guards against reads that wait longer at a slow target than at those that are loaded. */
  @Test
  void targetThatAnswersMoreSlowlyDoesNotRelieveOthers() {
    TargetState slow = add("slow", false);
    final TargetState good = add("good", false);
    record(slow, Outcome.NO_ANSWER, 40, 0);
    good.health().recordSuccess(20 * MS, 0);
    update(0);
    for (int i = 0; i < 8; i++) {
      good.recordSent();
      slow.health().recordSuccess(50 * MS, 50 * MS);
    }
    assertThat(readsOf(slow, 100)).isZero();
  }

  /** Guards against the cost of an evaluation at each read. */
  @Test
  void readsDoNotEvaluateOutcomes() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    placement.choose(
        directory.group("g"), "red", POSITION, Set.of(), any -> true, any -> true, 10 * MS);
    assertThat(bad.health().state()).isEqualTo(State.HEALTHY);
    update(10);
    assertThat(bad.health().state()).isEqualTo(State.PASSED_OVER);
  }

  /** Guards against a probe that waits behind statements that get no answer. */
  @Test
  void targetWithoutFreeConnectionIsNotProbed() {
    TargetState bad = add("bad", false);
    final TargetState good = add("good", false);
    record(bad, Outcome.NO_ANSWER, 4, 0);
    update(0);
    for (int i = 0; i < 8; i++) {
      TargetState chosen =
          placement.choose(
              directory.group("g"), "red", POSITION, Set.of(), any -> true, bad::equals, 300 * MS);
      assertThat(chosen).isSameAs(i == 3 ? bad : good);
    }
    for (int i = 0; i < 8; i++) {
      TargetState chosen =
          placement.choose(
              directory.group("g"), "red", POSITION, Set.of(), any -> true, good::equals, 900 * MS);
      assertThat(chosen).isSameAs(good);
    }
  }

  @Test
  void readRunsAtTargetThatIsPassedOverIfNoOtherCan() {
    TargetState bad = add("bad", false);
    add("good", false);
    record(bad, Outcome.FAILURE, 4, 0);
    update(0);
    assertThat(choose(Set.of("good"), 10)).isSameAs(bad);
  }

  @Test
  void targetReturnsInSteps() {
    TargetState replica = add("replica", false);
    add("primary", true);
    record(replica, Outcome.FAILURE, 4, 0);
    update(0);
    record(replica, Outcome.SUCCESS, 17, 100);
    assertThat(readsOf(replica, 100)).isBetween(18L, 22L);
    assertThat(readsOf(replica, 599)).isBetween(18L, 22L);
    // 19 % of the outcomes are failures.
    assertThat(readsOf(replica, 600)).isBetween(38L, 43L);
    assertThat(readsOf(replica, 1_100)).isBetween(79L, 82L);
    assertThat(replica.health().state()).isEqualTo(State.HEALTHY);
    assertThat(readsOf(replica, 2_500)).isEqualTo(100);
  }

  private long readsOf(TargetState target, long ms) {
    long count = 0;
    for (int i = 0; i < 100; i++) {
      count += choose(ms) == target ? 1 : 0;
    }
    return count;
  }

  @Test
  void failureDelaysTheNextStep() {
    TargetState replica = add("replica", false);
    add("primary", true);
    record(replica, Outcome.FAILURE, 4, 0);
    update(0);
    record(replica, Outcome.SUCCESS, 40, 100);
    update(100);
    record(replica, Outcome.FAILURE, 1, 400);
    assertThat(readsOf(replica, 899)).isLessThan(27);
    assertThat(readsOf(replica, 900)).isGreaterThan(40);
  }

  @Property(tries = 500, seed = "20261204")
  void atMostHalfOfTheTargetsArePassedOver(
      @ForAll @IntRange(min = 1, max = 7) int targets,
      @ForAll @Size(7) List<@DoubleRange(min = 0, max = 1) Double> failureShares) {
    directory = new Directory(target -> {});
    List<TargetState> states = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      TargetState state = add("t" + i, i == 0);
      states.add(state);
      int failures = (int) (failureShares.get(i) * 20);
      record(state, Outcome.FAILURE, failures, 0);
      record(state, Outcome.SUCCESS, 20 - failures, 0);
    }
    update(0);
    List<TargetState> passedOver = new ArrayList<>(states);
    passedOver.removeIf(state -> !state.health().isPassedOver());
    assertThat(passedOver.size()).isLessThanOrEqualTo(targets / 2);
    for (TargetState state : states) {
      double share = state.health().failureShare(0);
      if (state.health().isPassedOver()) {
        assertThat(share).isGreaterThanOrEqualTo(0.2);
      } else if (share >= 0.2) {
        assertThat(passedOver).hasSize(targets / 2);
        assertThat(passedOver)
            .allSatisfy(
                each -> assertThat(each.health().failureShare(0)).isGreaterThanOrEqualTo(share));
      }
    }
  }
}
