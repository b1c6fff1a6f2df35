package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Guards against commits that are acknowledged without the target that is about to lead. */
class ReplicaHoldTest {
  private static final long TERM = 3;
  private static final int STEPS = 200;

  private final Directory directory = new Directory(target -> {});
  private final GroupState group = directory.group("g");
  private final List<TargetState> replicas = new ArrayList<>();

  private TargetState replica() {
    String id = "t" + (replicas.size() + 1);
    TargetEntry entry =
        new TargetEntry(id, "g", "127.0.0.1:1" + id.substring(1), "z", 3, false, false, 1, 1);
    directory.put(entry, new StorePosition(0, replicas.size() + 1));
    TargetState added =
        group.targets().stream().filter(each -> each.entry().id().equals(id)).findFirst().get();
    replicas.add(added);
    return added;
  }

  private static TargetReport report(long index, boolean paused) {
    long pausedTerm = paused ? TERM + 1 : 0;
    return new TargetReport(false, TERM, new Position(TERM, index), pausedTerm, 0, 0, 1);
  }

  @Test
  void candidateIsComparedOnceTheOthersArePaused() {
    final TargetState candidate = replica();
    final TargetState other = replica();
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    assertThat(hold.pauseTerm()).isEqualTo(TERM + 1);
    assertThat(hold.due(List.of(other), 1)).containsExactly(other);
    hold.report(candidate, report(9, false), 10, 11);
    assertThat(hold.isComplete(List.of(other), 1)).isFalse();
    hold.report(other, report(9, true), 12, 13);
    assertThat(hold.due(List.of(other), 1)).isEmpty();
    assertThat(hold.isComplete(List.of(other), 1)).isFalse();
    hold.report(candidate, report(8, false), 14, 15);
    assertThat(hold.isComplete(List.of(other), 1)).isFalse();
    hold.report(candidate, report(9, false), 16, 17);
    assertThat(hold.isComplete(List.of(other), 1)).isTrue();
  }

  /** A report that took longer than a later one says nothing new. */
  @Test
  void reportThatWasRequestedEarlierDoesNotCount() {
    final TargetState candidate = replica();
    final TargetState other = replica();
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    hold.report(other, report(9, true), 1, 20);
    hold.report(candidate, report(9, false), 10, 30);
    assertThat(hold.isComplete(List.of(other), 1)).isFalse();
  }

  @Test
  void replicaThatRestartsOrReceivesAgainIsPausedAgain() {
    final TargetState candidate = replica();
    final TargetState other = replica();
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    hold.report(other, report(9, true), 1, 2);
    hold.report(candidate, report(9, false), 3, 4);
    hold.report(other, report(9, false), 5, 6);
    assertThat(hold.isComplete(List.of(other), 1)).isFalse();
    assertThat(hold.due(List.of(other), 1)).containsExactly(other);
  }

  @Test
  void replicaThatCannotPauseIsNotAwaited() {
    final TargetState candidate = replica();
    final TargetState unsupported = replica();
    final TargetState other = replica();
    List<TargetState> others = List.of(unsupported, other);
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    hold.recordUnsupported(unsupported);
    assertThat(hold.due(others, 2)).containsExactly(other);
    assertThat(hold.isComplete(others, 2)).isFalse();
    hold.report(other, report(9, true), 1, 2);
    hold.report(candidate, report(9, false), 3, 4);
    assertThat(hold.isComplete(others, 2)).isTrue();
  }

  @Test
  void onlyAsManyArePausedAsLetCommitsBeAcknowledged() {
    final TargetState candidate = replica();
    final TargetState first = replica();
    final TargetState second = replica();
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    hold.recordUnanswered(first);
    assertThat(hold.due(List.of(first, second), 1)).containsExactly(second);
    hold.report(second, report(9, true), 1, 2);
    assertThat(hold.due(List.of(first, second), 1)).isEmpty();
    assertThat(hold.due(List.of(first, second), 0)).isEmpty();
  }

  /** A term that is not above the replica's newest one pauses nothing. */
  @Test
  void pauseOfAnEarlierTermDoesNotCount() {
    assertThat(new TargetReport(false, TERM + 1, null, TERM + 1, 0, 0, 1).isPaused()).isFalse();
    assertThat(new TargetReport(true, TERM, null, TERM + 1, 0, 0, 1).isPaused()).isFalse();
  }

  /**
   * A group whose replicas receive the log now and then. From the moment at which the promotion may
   * be requested, it may take effect after any step.
   */
  @Property(tries = 2_000, seed = "51", shrinking = ShrinkingMode.OFF)
  void candidateHasAllCommitsThatAreAcknowledgedAtAnyLaterTime(@ForAll long seed) {
    Random random = new Random(seed);
    ReplicaHoldTest test = new ReplicaHoldTest();
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      test.replica();
    }
    test.play(random, 1 + random.nextInt(count));
  }

  private void play(Random random, int syncReplicas) {
    long[] received = new long[replicas.size()];
    boolean[] paused = new boolean[replicas.size()];
    long log = 0;
    long acknowledged = 0;
    boolean mayBeRequested = false;
    TargetState candidate = replicas.get(0);
    List<TargetState> others = replicas.subList(1, replicas.size());
    int needed = Math.max(0, replicas.size() - syncReplicas);
    ReplicaHold hold = new ReplicaHold(candidate, TERM);
    for (int now = 0; now < STEPS; now++) {
      int i = random.nextInt(replicas.size());
      switch (random.nextInt(4)) {
        case 0:
          log++;
          break;
        case 1:
          received[i] = paused[i] ? received[i] : log;
          break;
        case 2:
          for (TargetState due : hold.due(others, needed)) {
            int index = replicas.indexOf(due);
            paused[index] = true;
            hold.report(due, report(received[index], true), now, now);
          }
          break;
        default:
          hold.report(replicas.get(i), report(received[i], paused[i]), now, now);
      }
      long[] sorted = received.clone();
      Arrays.sort(sorted);
      acknowledged = Math.max(acknowledged, sorted[sorted.length - syncReplicas]);
      mayBeRequested |= hold.isComplete(others, needed);
      if (mayBeRequested) {
        assertThat(received[0]).isGreaterThanOrEqualTo(acknowledged);
      }
    }
  }
}
