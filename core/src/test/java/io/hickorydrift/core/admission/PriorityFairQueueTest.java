package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PriorityFairQueueTest {
  private final PriorityFairQueue<String> line = new PriorityFairQueue<>();

  private List<String> drain() {
    List<String> order = new ArrayList<>();
    for (String next = line.poll(any -> true); next != null; next = line.poll(any -> true)) {
      order.add(next);
    }
    return order;
  }

  @Test
  void oneOrganisationIsServedInOrderOfArrival() {
    line.add("a", 0, 1, "a1");
    line.add("a", 0, 1, "a2");
    assertThat(drain()).containsExactly("a1", "a2");
  }

  @Test
  void floodDoesNotDelayOthers() {
    for (int i = 1; i <= 4; i++) {
      line.add("flood", 0, 1, "f" + i);
    }
    line.add("small", 0, 1, "s1");
    line.add("small", 0, 1, "s2");
    assertThat(drain()).containsExactly("f1", "s1", "f2", "s2", "f3", "f4");
  }

  @Test
  void urgentGoesFirst() {
    line.add("a", 1, 1, "later");
    line.add("b", 0, 1, "urgent");
    assertThat(drain()).containsExactly("urgent", "later");
  }

  @Test
  void quietTimeSavesNothingUp() {
    for (int i = 0; i < 5; i++) {
      line.add("busy", 0, 1, "b" + i);
    }
    for (int i = 0; i < 3; i++) {
      line.poll(any -> true);
    }
    line.add("quiet", 0, 1, "q0");
    line.add("quiet", 0, 1, "q1");
    line.add("quiet", 0, 1, "q2");
    assertThat(drain()).containsExactly("q0", "b3", "q1", "b4", "q2");
  }

  @Test
  void whatDoesNotFitStays() {
    line.add("a", 0, 1, "a1");
    line.add("a", 0, 1, "a2");
    assertThat(line.poll("a2"::equals)).isEqualTo("a2");
    assertThat(line.removeIf("a1"::equals)).containsExactly("a1");
    assertThat(line.size()).isZero();
  }
}
