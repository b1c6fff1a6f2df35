package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PriorityFairQueueTest {
  private final PriorityFairQueue<String> queue = new PriorityFairQueue<>();

  private List<String> drain() {
    List<String> order = new ArrayList<>();
    for (String next = queue.poll(any -> true); next != null; next = queue.poll(any -> true)) {
      order.add(next);
    }
    return order;
  }

  @Test
  void servesOneOrganisationInOrderOfArrival() {
    queue.add("a", 0, 1, "a1");
    queue.add("a", 0, 1, "a2");
    assertThat(drain()).containsExactly("a1", "a2");
  }

  @Test
  void floodOfOneOrganisationDoesNotDelayOthers() {
    for (int i = 1; i <= 4; i++) {
      queue.add("flood", 0, 1, "f" + i);
    }
    queue.add("small", 0, 1, "s1");
    queue.add("small", 0, 1, "s2");
    assertThat(drain()).containsExactly("f1", "s1", "f2", "s2", "f3", "f4");
  }

  @Test
  void servesUrgentItemsFirst() {
    queue.add("a", 1, 1, "later");
    queue.add("b", 0, 1, "urgent");
    assertThat(drain()).containsExactly("urgent", "later");
  }

  @Test
  void idleTimeEarnsNoCredit() {
    for (int i = 0; i < 5; i++) {
      queue.add("busy", 0, 1, "b" + i);
    }
    for (int i = 0; i < 3; i++) {
      queue.poll(any -> true);
    }
    queue.add("quiet", 0, 1, "q0");
    queue.add("quiet", 0, 1, "q1");
    queue.add("quiet", 0, 1, "q2");
    assertThat(drain()).containsExactly("q0", "b3", "q1", "b4", "q2");
  }

  @Test
  void ineligibleItemsStayQueued() {
    queue.add("a", 0, 1, "a1");
    queue.add("a", 0, 1, "a2");
    assertThat(queue.poll("a2"::equals)).isEqualTo("a2");
    assertThat(queue.removeIf("a1"::equals)).containsExactly("a1");
    assertThat(queue.size()).isZero();
  }
}
