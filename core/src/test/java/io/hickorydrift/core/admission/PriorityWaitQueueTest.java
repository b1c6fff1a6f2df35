package io.hickorydrift.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PriorityWaitQueueTest {
  private final PriorityWaitQueue<String> line = new PriorityWaitQueue<>();

  @ParameterizedTest
  @CsvSource({
    "'2a 2b 2c',       '2a 2b 2c'",
    "'2a 1b 2c 1d',    '1b 1d 2a 2c'",
    "'0a 1b 0c',       '0a 0c 1b'",
    "'3a 2b 1c 0d',    '0d 1c 2b 3a'",
  })
  void urgentFirstThenInOrderOfArrival(String arrivals, String expected) {
    for (String item : arrivals.split(" ")) {
      line.add(item.charAt(0) - '0', 100, item);
    }
    List<String> order = new ArrayList<>();
    for (String item = line.poll(any -> true); item != null; item = line.poll(any -> true)) {
      order.add(item);
    }
    assertThat(String.join(" ", order)).isEqualTo(expected);
  }

  @Test
  void expiredLeaveWhereverTheyStand() {
    line.add(1, 10, "a");
    line.add(0, 30, "b");
    line.add(1, 20, "c");
    assertThat(line.removeExpired(25)).containsExactly("a", "c");
    assertThat(line.items()).containsExactly("b");
  }

  /**
   * One slot; a listing of 30 ms every 25 ms, and a write of 6 ms every 50 ms that is worth
   * something for 150 ms. In order of arrival the writes wait behind a growing line.
   */
  private static int writesInTime(boolean byPriority) {
    PriorityWaitQueue<long[]> waiting = new PriorityWaitQueue<>();
    int inTime = 0;
    long freeAtMs = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs++) {
      if (nowMs % 25 == 0) {
        waiting.add(byPriority ? 2 : 1, nowMs + 5_000, new long[] {nowMs, 30});
      }
      if (nowMs % 50 == 0) {
        waiting.add(1, nowMs + 5_000, new long[] {nowMs, 6});
      }
      waiting.removeExpired(nowMs);
      if (freeAtMs <= nowMs && !waiting.isEmpty()) {
        long[] next = waiting.poll(any -> true);
        freeAtMs = nowMs + next[1];
        inTime += next[1] == 6 && freeAtMs - next[0] <= 150 ? 1 : 0;
      }
    }
    return inTime;
  }

  @Test
  void shortUrgentWorkIsInTimeUnderLongWork() {
    assertThat(writesInTime(false)).isLessThan(60);
    assertThat(writesInTime(true)).isGreaterThan(190);
  }
}
