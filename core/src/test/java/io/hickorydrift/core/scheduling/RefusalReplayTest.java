package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.scheduling.Replay.Outcome;
import io.hickorydrift.core.scheduling.ReplayedRequest.Result;
import org.junit.jupiter.api.Test;

/** Compares refusal on arrival with the rule of other groups, which refuses after 400 ms. */
class RefusalReplayTest {
  private static final int SEEDS = 3;

  private static Replay overload(long seed) {
    return new Replay(seed)
        .arrivals(Replay.BIDS, 80, 0, 15_000)
        .arrivals(Replay.LISTINGS, 60, 0, 15_000)
        .arrivals(Replay.BIDS, 150, 5_000, 8_000);
  }

  private static Replay withRetries(long seed) {
    return new Replay(seed)
        .arrivals(Replay.BIDS, 80, 0, 25_000)
        .arrivals(Replay.LISTINGS, 40, 0, 25_000)
        .withRetries();
  }

  private static double meanMsToRefusal(Outcome outcome, String kind) {
    return outcome.requests().stream()
            .filter(r -> r.result == Result.REFUSED && r.kind.equals(kind))
            .mapToLong(request -> request.endNanos - request.arrivalNanos)
            .average()
            .orElse(0)
        / Replay.MS;
  }

  /** Guards against late refusals of urgent work, and against refusals that serve fewer in time. */
  @Test
  void overloadIsRefusedEarlyAndMoreIsInTime() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Outcome before = overload(seed).run(false);
      Outcome now = overload(seed).run(true);
      assertThat(now.inTime()).isGreaterThan(before.inTime());
      assertThat(now.inTime(Replay.BIDS)).isGreaterThan(before.inTime(Replay.BIDS));
      assertThat(meanMsToRefusal(before, Replay.LISTINGS)).isGreaterThan(400);
      assertThat(meanMsToRefusal(now, Replay.BIDS)).isLessThan(50);
    }
  }

  /** Guards against refusals on the usual load. */
  @Test
  void usualLoadIsNotRefused() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Outcome now =
          new Replay(seed)
              .arrivals(Replay.BIDS, 110, 0, 15_000)
              .arrivals(Replay.LISTINGS, 60, 0, 15_000)
              .run(true);
      long refused =
          now.requests().stream().filter(request -> request.result == Result.REFUSED).count();
      assertThat(refused).isLessThanOrEqualTo(now.requests().size() / 200);
    }
  }

  /** Guards against a wave of retries after an outage in which some callers are never served. */
  @Test
  void retriesAfterAnOutageEnd() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Replay replay = withRetries(seed);
      Outcome before = replay.run(false, RefusalReplayTest::outage);
      Outcome now = replay.run(true, RefusalReplayTest::outage);
      assertThat(now.served()).isEqualTo(before.served());
    }
  }

  /** Guards against refusals on arrival that make callers wait longer after an outage. */
  @Test
  void retriesAfterAnOutageAreServedAsSoonAsBefore() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Replay replay = withRetries(seed);
      Outcome before = replay.run(false, RefusalReplayTest::outage);
      Outcome now = replay.run(true, RefusalReplayTest::outage);
      assertThat(meanMsToService(now)).isLessThanOrEqualTo(meanMsToService(before));
    }
  }

  private static double meanMsToService(Outcome outcome) {
    return outcome.requests().stream()
            .filter(request -> request.result == Result.SERVED)
            .mapToLong(request -> request.endNanos - request.firstArrivalNanos)
            .average()
            .orElseThrow()
        / Replay.MS;
  }

  private static void outage(ReplayedClock clock, ReplayedTarget target) {
    clock.after(5_000 * Replay.MS, () -> target.slots = 0);
    clock.after(
        12_000 * Replay.MS,
        () -> {
          target.slots = 4;
          target.startNext();
        });
  }
}
