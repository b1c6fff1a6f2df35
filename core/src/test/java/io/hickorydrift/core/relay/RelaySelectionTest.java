package io.hickorydrift.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.relay.RelaySelection.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RelaySelectionTest {
  private static final long MS = 1_000_000L;
  private static final List<String> CANDIDATES = List.of("a", "b", "c");
  private static final Status USABLE = new Status(true, true, 300);
  private static final Status FOLLOWING = new Status(true, false, 300);
  private static final Status STALE = new Status(true, true, 4_000);

  private final Map<String, Status> statuses = new HashMap<>();

  private String choose(RelaySelection selection, long nowMs) {
    return selection.choose(
        CANDIDATES, id -> statuses.getOrDefault(id, Status.UNREACHABLE), nowMs * MS);
  }

  @Test
  void firstCandidateWatchesAtOnce() {
    assertThat(choose(new RelaySelection("a", false, 0), 0)).isEqualTo("a");
  }

  @Test
  void othersFollowTheFirstUsableCandidate() {
    statuses.put("a", FOLLOWING);
    statuses.put("b", USABLE);
    assertThat(choose(new RelaySelection("x", false, 0), 0)).isEqualTo("b");
    assertThat(choose(new RelaySelection("c", false, 0), 0)).isEqualTo("b");
  }

  @Test
  void nextCandidateWatchesWhenTheRelayHasNoRecentProof() {
    RelaySelection next = new RelaySelection("b", false, 0);
    statuses.put("a", USABLE);
    assertThat(choose(next, 0)).isEqualTo("a");
    statuses.put("a", STALE);
    assertThat(choose(next, 10)).isEqualTo("b");
  }

  @Test
  void instanceWaitsForLinksAtItsStartOnly() {
    RelaySelection started = new RelaySelection("x", false, 0);
    assertThat(choose(started, 0)).isNull();
    statuses.put("a", USABLE);
    assertThat(choose(started, 100)).isEqualTo("a");
  }

  @Test
  void restartedInstanceReadsTheStoreIfNoCandidateAnswersAtOnce() {
    assertThat(choose(new RelaySelection("x", false, 0), 200)).isEqualTo("x");
  }

  @Test
  void firstStartLeavesTheRelayTimeToReadTheStore() {
    RelaySelection started = new RelaySelection("x", true, 0);
    assertThat(choose(started, 1_000)).isNull();
    assertThat(choose(started, 2_000)).isEqualTo("x");
  }

  @Test
  void instancesThatAreNoCandidatesBeginToWatchSpreadInTime() {
    List<Long> delaysMs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      RelaySelection selection = new RelaySelection("gw-" + i, false, 0);
      statuses.put("a", USABLE);
      choose(selection, 0);
      statuses.clear();
      long delayMs = 0;
      while (choose(selection, 10 + delayMs) == null) {
        delayMs += 10;
      }
      delaysMs.add(delayMs);
    }
    assertThat(delaysMs).allMatch(ms -> ms <= RelaySelection.MAX_TAKEOVER_MS);
    assertThat(delaysMs.stream().distinct().count()).isGreaterThan(3);
  }

  /** Whatever is known of the candidates, an instance is never without the store for long. */
  @Property(tries = 300, seed = "19")
  void instanceFollowsUsableCandidateOrWatchesInTime(@ForAll long seed) {
    Random random = new Random(seed);
    String self = random.nextBoolean() ? "x" : CANDIDATES.get(random.nextInt(3));
    RelaySelection selection = new RelaySelection(self, false, 0);
    long waitingSinceMs = 0;
    for (long nowMs = 0; nowMs < 20_000; nowMs += 50) {
      if (random.nextInt(10) == 0) {
        Status[] kinds = {USABLE, FOLLOWING, STALE, Status.UNREACHABLE};
        statuses.put(CANDIDATES.get(random.nextInt(3)), kinds[random.nextInt(4)]);
      }
      String choice = choose(selection, nowMs);
      if (choice != null) {
        waitingSinceMs = nowMs;
        assertThat(choice.equals(self) || statuses.get(choice) == USABLE).isTrue();
      }
      assertThat(nowMs - waitingSinceMs).isLessThanOrEqualTo(RelaySelection.MAX_TAKEOVER_MS);
    }
  }
}
