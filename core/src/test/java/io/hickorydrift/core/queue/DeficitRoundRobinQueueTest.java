package io.hickorydrift.core.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Checks that service is shared by weight, independently of the order of arrival. */
class DeficitRoundRobinQueueTest {
  @Test
  void floodOfOneOrganisationDoesNotStarveAnother() {
    DeficitRoundRobinQueue<String> queue = new DeficitRoundRobinQueue<>(10);
    for (int i = 0; i < 1_000; i++) {
      queue.offer("big", 1, "big");
    }
    for (int i = 0; i < 10; i++) {
      queue.offer("small", 1, "small");
    }
    int small = 0;
    for (int i = 0; i < 20; i++) {
      String served = queue.poll();
      queue.release(served);
      small += served.equals("small") ? 1 : 0;
    }
    assertThat(small).isBetween(9, 10);
  }

  @Property(tries = 100, seed = "20261204")
  void serviceIsSharedByWeight(@ForAll @IntRange(min = 1, max = 10) int weight) {
    DeficitRoundRobinQueue<String> queue = new DeficitRoundRobinQueue<>(100);
    for (int i = 0; i < 4_000; i++) {
      queue.offer("one", 1, "one");
      queue.offer("part", weight / 10.0, "part");
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      String next = queue.poll();
      queue.release(next);
      served.merge(next, 1, Integer::sum);
    }
    double share = served.get("part") / (double) served.get("one");
    assertThat(share).isBetween(weight / 10.0 - 0.05, weight / 10.0 + 0.05);
  }

  @Test
  void organisationNeverExceedsMaxInFlight() {
    DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(3);
    for (int i = 0; i < 10; i++) {
      queue.offer("o", 1, i);
    }
    assertThat(List.of(queue.poll(), queue.poll(), queue.poll())).containsExactly(0, 1, 2);
    assertThat(queue.poll()).isNull();
    queue.release("o");
    assertThat(queue.poll()).isEqualTo(3);
  }

  @Property(tries = 200, seed = "20261204")
  void everyItemIsServedOrRemovedExactlyOnce(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 4) Integer> organisations) {
    DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(2);
    for (int i = 0; i < organisations.size(); i++) {
      queue.offer("o" + organisations.get(i), 0.5, i);
    }
    int removed = queue.removeIf(item -> item % 3 == 0).size();
    int served = 0;
    for (Integer next = queue.poll(); next != null; next = queue.poll()) {
      queue.release("o" + organisations.get(next));
      served++;
    }
    assertThat(served + removed).isEqualTo(organisations.size());
    assertThat(queue.size()).isZero();
  }
}
