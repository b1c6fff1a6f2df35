package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class FairWaitQueueTest {
  private static final long MS = 1_000_000L;
  private static final long NO_DEADLINE = Long.MAX_VALUE / 2;

  private final FairWaitQueue<String> queue = new FairWaitQueue<>();

  private void add(String organisation, int priority, long atMs, long objectiveMs, String item) {
    queue.add(
        new WaitingRequest(
            organisation, priority, atMs * MS, atMs * MS, objectiveMs * MS, NO_DEADLINE, 5 * MS),
        item);
  }

  private List<String> drain(long nowMs) {
    List<String> order = new ArrayList<>();
    while (!queue.isEmpty()) {
      order.add(queue.poll(any -> true, nowMs * MS));
    }
    return order;
  }

  /** Guards against urgent work behind listings that arrived before it. */
  @Test
  void higherPriorityIsFirst() {
    add("a", 2, 0, 600, "listing");
    add("b", 0, 1, 100, "bid");
    assertThat(queue.items(2 * MS)).containsExactly("bid", "listing");
    assertThat(drain(2)).containsExactly("bid", "listing");
  }

  /** Guards against starvation: half of the objective, then each quarter, raises by one. */
  @Test
  void waitingRaisesPriority() {
    WaitingRequest request = new WaitingRequest("a", 2, 0, 0, 600 * MS, NO_DEADLINE, MS);
    assertThat(request.agedPriority(299 * MS)).isEqualTo(2);
    assertThat(request.agedPriority(300 * MS)).isEqualTo(1);
    assertThat(request.agedPriority(449 * MS)).isEqualTo(1);
    assertThat(request.agedPriority(450 * MS)).isZero();
    assertThat(request.agedPriority(600 * MS)).isEqualTo(-1);
  }

  /** Guards against a flood of one organisation that delays all others. */
  @Test
  void floodDelaysOnlyItself() {
    for (int i = 0; i < 20; i++) {
      add("flood", 0, 0, 1_000, "f" + i);
    }
    add("a", 0, 1, 1_000, "a0");
    add("b", 0, 1, 1_000, "b0");
    assertThat(drain(2).subList(0, 4)).containsExactly("f0", "a0", "b0", "f1");
  }

  /** Guards against an organisation that still pays for a past flood that was never served. */
  @Test
  void expiredWorkDoesNotCount() {
    for (int i = 0; i < 20; i++) {
      queue.add(new WaitingRequest("flood", 0, 0, 0, 1_000 * MS, 10 * MS, 5 * MS), "f" + i);
    }
    assertThat(queue.removeExpired(11 * MS)).hasSize(20);
    add("a", 0, 11, 1_000, "a0");
    add("a", 0, 11, 1_000, "a1");
    add("flood", 0, 11, 1_000, "late");
    assertThat(drain(12)).containsExactly("a0", "late", "a1");
  }

  /** Guards against lost or repeated entries, and against organisations that are never served. */
  @Property(seed = "4711", tries = 200)
  void everyEntryLeavesOnce(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    FairWaitQueue<Integer> mixed = new FairWaitQueue<>();
    List<Integer> left = new ArrayList<>();
    int added = 0;
    for (int ms = 0; ms < 300; ms++) {
      if (random.nextInt(3) > 0) {
        long deadlineNanos = (ms + random.nextInt(200)) * MS;
        String organisation = "o" + random.nextInt(5);
        mixed.add(
            new WaitingRequest(
                organisation, random.nextInt(3), ms * MS, ms * MS, 100 * MS, deadlineNanos, MS),
            added++);
      }
      if (random.nextInt(2) == 0) {
        String eligible = random.nextBoolean() ? "0" : "";
        Integer next = mixed.poll(item -> item.toString().endsWith(eligible), ms * MS);
        if (next != null) {
          left.add(next);
        }
      }
      left.addAll(mixed.removeExpired(ms * MS));
    }
    left.addAll(mixed.removeExpired(1_000 * MS));
    assertThat(mixed.isEmpty()).isTrue();
    assertThat(left).hasSize(added).doesNotHaveDuplicates();
  }
}
