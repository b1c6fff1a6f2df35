package io.hickorydrift.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.limit.TokenQueue.Entry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TokenQueueTest {
  private static final long MS = 1_000_000L;

  /** Guards against an urgent operation that gets a token after another one, and lost entries. */
  @Property(tries = 300, seed = "53")
  void urgentOperationsComeFirstAndEqualsInOrderOfArrival(
      @ForAll @Size(max = 40) List<Boolean> urgent) {
    TokenQueue queue = new TokenQueue();
    List<Entry> expected = new ArrayList<>();
    for (int i = 0; i < urgent.size(); i++) {
      expected.add(new Entry(i, urgent.get(i), i));
      queue.add(expected.get(i));
    }
    expected.sort(Comparator.comparing(entry -> !entry.urgent()));
    List<Entry> actual = new ArrayList<>();
    while (!queue.isEmpty()) {
      actual.add(queue.pollFirst());
    }
    assertThat(actual).isEqualTo(expected);
  }

  /** Guards against operations refused although as many tokens are expected as are needed. */
  @Test
  void onlyOperationsBeyondTheExpectedTokensAreHopeless() {
    TokenQueue queue = new TokenQueue();
    for (int i = 0; i < 5; i++) {
      queue.add(new Entry(i, false, 30 * MS));
    }
    // 100 tokens a second add 3 until the deadline; the fourth operation is served with the rest.
    assertThat(queue.pollHopeless(100, 0).ticket()).isEqualTo(4);
    assertThat(queue.pollHopeless(100, 0)).isNull();
    queue.add(new Entry(5, true, 30 * MS));
    assertThat(queue.pollHopeless(100, 0).ticket()).isEqualTo(3);
    assertThat(queue.pollHopeless(100, 0)).isNull();
  }
}
