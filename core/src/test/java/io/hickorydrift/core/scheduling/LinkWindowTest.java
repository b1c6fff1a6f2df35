package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against more than the bound on a link, against lost places and against a false order. */
class LinkWindowTest {
  private record Request(int priority, int number) {}

  private final LinkWindow<Request> window = new LinkWindow<>();

  private void fill() {
    while (window.tryTake()) {
      assertThat(window.outstanding()).isLessThanOrEqualTo(LinkWindow.MAX_OUTSTANDING);
    }
  }

  @Test
  void sixtyFourStatementsAreOutstandingAtMost() {
    fill();
    assertThat(window.outstanding()).isEqualTo(64);
    assertThat(window.pollNext()).isNull();
  }

  @Test
  void requestThatArrivesDoesNotOvertakeThoseThatWait() {
    fill();
    Request waiting = new Request(2, 1);
    window.add(2, waiting);
    window.giveBack();
    assertThat(window.tryTake()).isFalse();
    assertThat(window.pollNext()).isSameAs(waiting);
    assertThat(window.outstanding()).isEqualTo(64);
  }

  @Test
  void removedRequestTakesNoPlace() {
    fill();
    Request waiting = new Request(0, 1);
    window.add(0, waiting);
    assertThat(window.remove(waiting)).isTrue();
    assertThat(window.remove(waiting)).isFalse();
    window.giveBack();
    assertThat(window.pollNext()).isNull();
    assertThat(window.tryTake()).isTrue();
  }

  @Test
  void placeThatWasNotTakenCannotBeGivenBack() {
    assertThatThrownBy(window::giveBack).isInstanceOf(IllegalStateException.class);
  }

  /** Replays a home that stops answering for a while; compared with the declared order. */
  @Property(tries = 500, seed = "20261204")
  void requestsAreServedByPriorityThenArrival(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(min = -1, max = 3) Integer> priorities) {
    LinkWindow<Request> full = new LinkWindow<>();
    while (full.tryTake()) {
      assertThat(full.outstanding()).isLessThanOrEqualTo(LinkWindow.MAX_OUTSTANDING);
    }
    List<Request> arrived = new ArrayList<>();
    for (int priority : priorities) {
      Request request = new Request(priority, arrived.size());
      arrived.add(request);
      full.add(priority, request);
    }
    List<Request> served = new ArrayList<>();
    for (int i = 0; i < arrived.size(); i++) {
      full.giveBack();
      served.add(full.pollNext());
      assertThat(full.outstanding()).isEqualTo(LinkWindow.MAX_OUTSTANDING);
    }
    arrived.sort(Comparator.comparingInt(Request::priority).thenComparingInt(Request::number));
    assertThat(served).isEqualTo(arrived);
  }

  /** Guards against callers that were refused together and return together. */
  @Test
  void refusedCallersReturnSpreadOverTime() {
    fill();
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      delays.add(window.refuse(i * 0.618 % 1));
    }
    assertThat(delays).allMatch(delay -> delay >= 75 && delay <= 2_500);
    for (int fromMs = 0; fromMs <= 2_500; fromMs += 100) {
      long from = fromMs;
      assertThat(delays.stream().filter(delay -> delay >= from && delay < from + 100).count())
          .as("callers told to return in " + from + " to " + (from + 100) + " ms")
          .isLessThanOrEqualTo(150);
    }
    window.giveBack();
    window.tryTake();
    assertThat(window.refuse(0.5)).isEqualTo(LinkWindow.MAX_WAIT_MS);
  }
}
