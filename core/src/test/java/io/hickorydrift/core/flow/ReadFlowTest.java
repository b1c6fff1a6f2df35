package io.hickorydrift.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.routing.FreshReplicaFirst;
import io.hickorydrift.core.routing.GroupView;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Single reads step by step. */
class ReadFlowTest {
  private static final long MS = 1_000_000L;
  private final GroupView view = new GroupView("g", List.of("p", "r", "s"));

  @BeforeEach
  void learn() {
    view.recordAnswer("p", state(10), 0);
    view.recordAnswer("r", state(10), 0);
    view.recordAnswer("s", state(4), 0);
  }

  private static TargetAnswer state(long index) {
    Position at = new Position(1, index);
    return TargetAnswer.builder()
        .status(TargetStatus.OK)
        .term(1)
        .primary("p")
        .applied(at)
        .logged(at)
        .build();
  }

  private ReadFlow flow(long index, long maxAgeMs, long arrivedMs) {
    Position needed = new Position(1, index);
    return new ReadFlow(
        view,
        new FreshReplicaFirst(),
        new ReadRequest("o", "q", List.of(), needed, maxAgeMs, arrivedMs * MS, 2_000 * MS));
  }

  private static String asked(Step step) {
    return ((Step.SendRequest) step).target();
  }

  @Test
  void freshReplicaIsAskedFirst() {
    assertThat(asked(flow(10, -1, 1).start(MS))).isEqualTo("r");
  }

  @Test
  void answerBehindTheSessionIsNotTaken() {
    ReadFlow flow = flow(10, -1, 1);
    assertThat(asked(flow.start(MS))).isEqualTo("r");
    Step next = flow.onAnswer("r", state(9), MS, 2 * MS);
    assertThat(asked(next)).as("a target that ignores the position").isEqualTo("p");
  }

  @Test
  void dataOlderThanAcceptedIsRefusedAtTheDeadline() {
    ReadFlow flow = flow(1, 100, 1_000);
    flow.start(1_000 * MS);
    Step step = flow.onAnswer("p", state(10), 1_000 * MS, 1_001 * MS);
    assertThat(step).isInstanceOf(Step.Wait.class);
    Step end = flow.resume(2_000 * MS);
    assertThat(((Step.Finish) end).answer().code()).isEqualTo(ResultCode.TOO_STALE.number());
  }

  @Test
  void fullQueueIsOverloadOnlyWithoutEarlierTries() {
    ReadFlow first = flow(99, -1, 1);
    assertThat(asked(first.start(MS))).isEqualTo("p");
    first.onFailure("p", ExchangeFailure.QUEUE_FULL, MS);
    first.onFailure("r", ExchangeFailure.QUEUE_FULL, MS);
    Step full = first.onFailure("s", ExchangeFailure.QUEUE_FULL, MS);
    assertThat(((Step.Finish) full).answer().code()).isEqualTo(ResultCode.OVERLOADED.number());

    ReadFlow later = flow(99, -1, 1);
    later.start(MS);
    later.onFailure("p", ExchangeFailure.NO_ANSWER, 1_998 * MS);
    later.onFailure("r", ExchangeFailure.QUEUE_FULL, 1_999 * MS);
    Step end = later.onFailure("s", ExchangeFailure.QUEUE_FULL, 1_999 * MS);
    assertThat(((Step.Finish) end).answer().code()).isEqualTo(ResultCode.NO_TARGET.number());
  }

  @Test
  void proofByMajorityMakesThePrimarysDataFresh() {
    ReadFlow flow = flow(1, 0, 1_000);
    flow.start(1_000 * MS);
    view.recordAnswer("p", state(10), 1_001 * MS);
    assertThat(flow.onAnswer("p", state(10), 1_001 * MS, 1_002 * MS)).isInstanceOf(Step.Wait.class);
    view.recordAnswer("s", state(4), 1_003 * MS);
    Step end = flow.resume(1_004 * MS);
    assertThat(((Step.Finish) end).answer().code()).isZero();
  }

  @Test
  void oldPrimaryAloneProvesNothing() {
    for (int i = 0; i < 100; i++) {
      view.recordAnswer("p", state(10 + i), (10 + i) * MS);
    }
    assertThat(view.ageBoundNanos(new Position(1, 109), 120 * MS))
        .as("the last proof by two targets was at time 0")
        .isEqualTo(120 * MS);
  }
}
