package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.LogHolders;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against the promotion of a target that lacks an acknowledged commit. */
class DurableChoiceTest {
  private static final long MS = 1_000_000;

  private final Evacuations evacuations = new Evacuations();
  private long nowNanos;
  private long entryRevision;
  private final Directory directory = new Directory(target -> {}, evacuations, () -> nowNanos);
  private final GroupState group = directory.group("g");

  private TargetEntry entry(String id, boolean draining, boolean primary, long bornMs) {
    return new TargetEntry(
        id, "g", "127.0.0.1:1" + id.substring(1), "z" + id, 3, draining, primary, bornMs, 1);
  }

  private TargetState put(TargetEntry entry) {
    directory.put(entry, new StorePosition(0, ++entryRevision));
    return group.targets().stream()
        .filter(each -> each.entry().id().equals(entry.id()))
        .findFirst()
        .orElseThrow();
  }

  private TargetState primary(int number) {
    return put(entry("t" + number, false, true, 1));
  }

  private TargetState replica(int number) {
    return put(entry("t" + number, false, false, 1));
  }

  private static Position at(long index) {
    return new Position(1, index);
  }

  private DurableChoice choice(TargetState primary) {
    return new DurableChoice(group, 1, primary);
  }

  @Test
  void allReplicasReportWhereOneHasEachCommit() {
    final TargetState primary = primary(0);
    final TargetState behind = replica(1);
    final TargetState ahead = replica(2);
    DurableChoice choice = choice(primary);
    choice.report(behind, at(5), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(ahead, at(9), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(ahead);
  }

  @Test
  void oneReportLessIsNeededWhereTwoReplicasHaveEachCommit() {
    final TargetState primary = primary(0);
    final TargetState first = replica(1);
    replica(2);
    DurableChoice choice = new DurableChoice(group, 2, primary);
    choice.report(first, at(5), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(first);
  }

  @Test
  void leavingTargetIsChosenOnlyIfNoOtherIsAsAdvanced() {
    final TargetState primary = primary(0);
    final TargetState staying = replica(1);
    final TargetState draining = put(entry("t2", true, false, 1));
    final TargetState evacuated = replica(3);
    evacuations.begin("zt3", new StorePosition(0, 90), 0);
    DurableChoice choice = choice(primary);
    choice.report(evacuated, at(9), 0, nowNanos);
    choice.report(draining, at(9), 0, nowNanos);
    choice.report(staying, at(8), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(draining);
    choice.report(staying, at(9), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(staying);
    choice.report(evacuated, at(10), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(evacuated);
  }

  @Test
  void primaryThatReportsIsReplacedByReplicaThatStaysAndHasItsLog() {
    final TargetState primary = put(entry("t0", true, true, 1));
    final TargetState staying = replica(1);
    final TargetState draining = put(entry("t2", true, false, 1));
    DurableChoice choice = choice(primary);
    choice.report(primary, at(9), 0, nowNanos);
    choice.report(draining, at(9), 0, nowNanos);
    choice.report(staying, at(8), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(staying, at(9), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(staying);
  }

  @Test
  void replicaWhoseEntryLapsedIsAwaitedForSomeTime() {
    final TargetState primary = primary(0);
    final TargetState left = replica(1);
    replica(2);
    directory.remove("t2");
    DurableChoice choice = choice(primary);
    choice.report(left, at(5), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    final TargetState back = replica(2);
    choice.report(back, at(4), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(left);
    directory.remove("t2");
    assertThat(choice.choose(nowNanos)).isNull();
    nowNanos += LogHolders.RETURN_NANOS + 1;
    choice.report(left, at(5), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(left);
  }

  /** A target that has turned silent may have received commits since its report. */
  @Test
  void reportOfTargetThatTurnedSilentDoesNotCount() {
    final TargetState primary = primary(0);
    final TargetState silent = replica(1);
    final TargetState late = replica(2);
    DurableChoice choice = choice(primary);
    choice.report(silent, at(5), nowNanos, nowNanos);
    nowNanos += 1_001 * MS;
    choice.report(late, at(8), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(silent, at(9), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(silent);
    assertThat(choice.reaches(silent, late, nowNanos)).isTrue();
    assertThat(choice.reaches(late, silent, nowNanos)).isFalse();
  }

  @Test
  void departedReplicaIsNotAwaitedIfAnotherHasAllThatItConfirmed() {
    final TargetState primary = primary(0);
    final TargetState left = replica(1);
    replica(2);
    directory.remove("t2");
    group.observedPositions().add(at(7), nowNanos + 200 * MS);
    nowNanos += 300 * MS;
    DurableChoice choice = choice(primary);
    choice.report(left, at(6), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(left, at(7), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(left);
  }

  @Test
  void successorReportsForDrainingTargetThatLeft() {
    final TargetState primary = primary(0);
    final TargetState behind = replica(1);
    put(entry("t2", true, false, 1));
    directory.remove("t2");
    DurableChoice choice = choice(primary);
    choice.report(behind, at(5), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    TargetEntry old = entry("t2", false, false, 1);
    TargetState successor =
        put(new TargetEntry("t7", "g", old.address(), old.failureDomain(), 3, false, false, 1, 1));
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(successor, at(9), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(successor);
  }

  @Test
  void replicaThatRestartedDoesNotReportForItsFormerLog() {
    final TargetState primary = primary(0);
    final TargetState behind = replica(1);
    replica(2);
    final TargetState restarted = put(entry("t2", false, false, 2));
    DurableChoice choice = choice(primary);
    choice.report(behind, at(5), 0, nowNanos);
    choice.report(restarted, at(0), 0, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
  }

  @Test
  void primaryIsAwaitedUntilReplicasHaveWhatItHadAtItsPromotion() {
    primary(0);
    final TargetState behind = replica(1);
    replica(2);
    directory.remove("t0");
    nowNanos += 100 * MS;
    final TargetState promoted = primary(2);
    DurableChoice choice = choice(promoted);
    choice.report(behind, at(5), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isNull();
    group.observedPositions().add(at(9), nowNanos + 10 * MS);
    assertThat(choice.choose(nowNanos)).isNull();
    choice.report(behind, at(9), nowNanos, nowNanos);
    assertThat(choice.choose(nowNanos)).isSameAs(behind);
  }

  /** Guards against requests for two targets that may both be carried out. */
  @Test
  void targetThatIsNotPausedIsChosenAmongEquals() {
    final TargetState primary = primary(0);
    final List<TargetState> replicas = List.of(replica(1), replica(2));
    for (TargetState paused : replicas) {
      DurableChoice choice = choice(primary);
      choice.report(replicas.get(0), at(9), 0, nowNanos);
      choice.report(replicas.get(1), at(9), 0, nowNanos);
      choice.setPaused(paused, true);
      assertThat(choice.choose(nowNanos)).isNotSameAs(paused);
      choice.report(paused, at(10), 0, nowNanos);
      assertThat(choice.choose(nowNanos)).isSameAs(paused);
    }
  }

  /** Random logs; a commit is acknowledged if enough replicas have it. */
  @Property(tries = 1_000, seed = "39")
  void chosenTargetHasAllAcknowledgedCommits(
      @ForAll @Size(min = 1, max = 5) List<@IntRange(max = 20) Integer> logs,
      @ForAll @IntRange(min = 1, max = 3) int syncReplicas,
      @ForAll @Size(5) List<Boolean> reporting,
      @ForAll @Size(5) List<Boolean> draining) {
    DurableChoiceTest test = new DurableChoiceTest();
    TargetState primary = test.primary(0);
    DurableChoice choice = new DurableChoice(test.group, syncReplicas, primary);
    List<Integer> positions = new ArrayList<>(logs);
    positions.sort(Comparator.reverseOrder());
    int acknowledged = syncReplicas > logs.size() ? 0 : positions.get(syncReplicas - 1);
    boolean allReport = true;
    for (int i = 0; i < logs.size(); i++) {
      TargetState replica = test.put(test.entry("t" + (i + 1), draining.get(i), false, 1));
      allReport &= reporting.get(i);
      if (reporting.get(i)) {
        choice.report(replica, at(logs.get(i)), 0, test.nowNanos);
      }
    }
    TargetState chosen = choice.choose(test.nowNanos);
    if (chosen != null) {
      assertThat(choice.receivedBy(chosen, test.nowNanos).index())
          .isGreaterThanOrEqualTo(acknowledged);
    }
    assertThat(allReport && chosen == null).isFalse();
  }
}
