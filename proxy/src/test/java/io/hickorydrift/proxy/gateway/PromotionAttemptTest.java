package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.bench.FreePorts;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests a promotion attempt whose replicas do not answer, and one that ends early. */
class PromotionAttemptTest {
  // One survey, its timeout, the lease renewal and the retries of two pools.
  private static final int MAX_TIMERS = 20;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final RecordingStore store = new RecordingStore();
  private final Directory directory = new Directory(target -> {});
  private final Declarations declarations = new Declarations(loop, 5_000);
  private final FleetMembership fleet =
      new FleetMembership(loop, store, "gw-0", new FleetEntry("127.0.0.1:9", 1, "z"));
  private final HomeRouter homes =
      new HomeRouter(loop, declarations, fleet, directory, "gw-0", Regions.NONE);
  // No target listens at its address, so that nothing is encoded.
  private final TargetPools pools = new TargetPools(loop, null, homes, declarations);

  private PromotionAttempt attempt() {
    for (int i = 0; i < 3; i++) {
      directory.put(
          new TargetEntry("t" + i, "g", FreePorts.nextAddress(), "z", 3, false, i == 0, 1, 1),
          new StorePosition(0, 1));
    }
    GroupState group = directory.group("g");
    return new PromotionAttempt(
        new PromotionServices(loop, store, null, pools, declarations, "gw-0"),
        new PromotionNeed(group, PrimaryVerdict.DEAD, loop.nowNanos(), () -> 0, () -> false));
  }

  @Test
  void surveysDoNotMultiplyWhileNoReplicaAnswers() throws IOException {
    store.immediate = true;
    attempt().start();
    int most = 0;
    for (int ms = 0; ms < 7_000; ms += 5) {
      time.advanceMs(5);
      loop.runOnce(0);
      pools.tick(loop.nowNanos());
      most = Math.max(most, loop.timerCount());
      assertThat(most).as("pending timers after %d ms", ms).isLessThan(MAX_TIMERS);
    }
  }

  @Test
  void leaseGrantedAfterTheEndIsRevokedAndNotUsed() {
    PromotionAttempt attempt = attempt();
    attempt.start();
    attempt.end("clock pause");
    store.last("grant").onResult().accept(new UpdateResult(Status.OK, 7, 0));
    assertThat(store.last("revoke").lease()).isEqualTo(7);
    assertThat(store.count("write")).isZero();
  }

  @Test
  void attemptOfAnEarlierEraLeavesItsLeaseAlone() {
    store.immediate = true;
    PromotionAttempt attempt = attempt();
    attempt.start();
    assertThat(store.count("write")).isEqualTo(1);
    attempt.endInNewEra();
    assertThat(attempt.ended()).isTrue();
    assertThat(store.count("revoke")).isZero();
  }

  @Test
  void keyWrittenUnderLeaseOfAnEarlierEraIsDeleted() {
    PromotionAttempt attempt = attempt();
    attempt.start();
    store.last("grant").onResult().accept(new UpdateResult(Status.OK, 7, 0));
    RecordingStore.Call write = store.last("write");
    attempt.endInNewEra();
    write.onResult().accept(new UpdateResult(Status.OK, 31, 1));
    assertThat(store.count("delete")).isEqualTo(1);
  }

  @Test
  void requestCarriesFenceAboveThoseOfEarlierEras() throws IOException {
    assertThat(fenceOfAttemptIn(1)).isGreaterThan(new StorePosition(0, 1_000_000).fencingToken());
    assertThat(fenceOfAttemptIn(0)).isLessThan(1_000);
  }

  private long fenceOfAttemptIn(long era) {
    store.immediate = true;
    store.era = era;
    PromotionAttempt attempt = attempt();
    attempt.start();
    attempt.end("test");
    return attempt.fence();
  }
}
