package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the registration of an instance under a lease, when entries and answers are lost. */
class FleetMembershipTest {
  private static final String OWN_KEY = "fleet/gw-0";
  private static final long OBSERVED_MS = 20_000;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final RecordingStore store = new RecordingStore();
  private final FleetMembership fleet =
      new FleetMembership(loop, store, "gw-0", new FleetEntry("127.0.0.1:9", 1, "z"));

  @BeforeEach
  void join() {
    store.immediate = true;
    fleet.join();
  }

  private void runForMs(long ms) throws IOException {
    for (long elapsed = 0; elapsed < ms; elapsed += 100) {
      time.advanceMs(100);
      loop.runOnce(0);
    }
  }

  private void apply(Item item) {
    fleet.apply(item, new StorePosition(0, item.revision()));
  }

  private void loseOwnEntry() {
    apply(new Item(OWN_KEY, null, 1_000));
  }

  @Test
  void lostEntryLeavesOneRenewalLoop() throws IOException {
    runForMs(OBSERVED_MS);
    final int renewals = store.count("renew");
    loseOwnEntry();
    store.calls.clear();
    runForMs(OBSERVED_MS);
    assertThat(store.count("renew")).isBetween(renewals - 1, renewals + 1);
  }

  @Test
  void lostEntryRevokesTheOldLease() {
    long oldLease = store.last("write").lease();
    loseOwnEntry();
    assertThat(store.last("revoke").lease()).isEqualTo(oldLease);
    assertThat(store.last("write").lease()).isNotEqualTo(oldLease);
  }

  @Test
  void leaseGrantedAfterLeavingIsRevoked() {
    store.immediate = false;
    loseOwnEntry();
    RecordingStore.Call grant = store.last("grant");
    fleet.leave();
    store.calls.clear();
    grant.onResult().accept(new UpdateResult(Status.OK, 77, 0));
    assertThat(store.last("revoke").lease()).isEqualTo(77);
    assertThat(store.count("write")).isZero();
  }

  @Test
  void entryThatChangesDuringTheRegistrationIsWrittenAgain() {
    store.immediate = false;
    loseOwnEntry();
    store.last("grant").onResult().accept(new UpdateResult(Status.OK, 7, 0));
    RecordingStore.Call registration = store.last("write");
    fleet.setOwnEntry(new FleetEntry("127.0.0.1:9", 2, "z"));
    store.calls.clear();
    registration.onResult().accept(new UpdateResult(Status.OK, 1_001, 0));
    assertThat(store.count("write")).isOne();
    assertThat(store.last("write").lease()).isEqualTo(7);
  }

  @Test
  void entryReplacedByDelayedWriteIsWrittenAgain() {
    fleet.setOwnEntry(new FleetEntry("127.0.0.1:9", 2, "z"));
    store.calls.clear();
    applyEntry("gw-0", "127.0.0.1:9 2 z", 1_001);
    assertThat(store.count("write")).isZero();
    applyEntry("gw-0", "127.0.0.1:9 1 z", 1_002);
    assertThat(store.count("write")).isOne();
  }

  @Test
  void removalOfAnEarlierEntryIsIgnored() {
    final int grants = store.count("grant");
    apply(new Item(OWN_KEY, "127.0.0.1:9 1 z".getBytes(), 1_001));
    apply(new Item(OWN_KEY, null, 1));
    assertThat(fleet.isMember()).isTrue();
    assertThat(store.count("grant")).isEqualTo(grants);
  }

  private void applyEntry(String instance, String entry, long revision) {
    fleet.apply(
        new Item("fleet/" + instance, entry.getBytes(StandardCharsets.UTF_8), revision),
        new StorePosition(0, revision));
  }

  @Test
  void leavingInstanceKeepsItsEntryAndGivesUpDuties() {
    applyEntry("gw-0", "127.0.0.1:9 1.0 z", 1_001);
    applyEntry("gw-1", "127.0.0.1:8 1.0 z", 1_002);
    fleet.prepareToLeave();
    assertThat(fleet.isMember()).isTrue();
    assertThat(store.count("revoke")).isZero();
    assertThat(fleet.members()).extracting("id").containsExactly("gw-1");
    assertThat(fleet.instanceIds()).containsExactlyInAnyOrder("gw-0", "gw-1");
  }

  @Test
  void leavingInstancesShareDutiesIfNoOtherIsLive() {
    applyEntry("gw-0", "127.0.0.1:9 1.0 z", 1_001);
    applyEntry("gw-1", "127.0.0.1:8 1.0,leaving z", 1_002);
    fleet.prepareToLeave();
    assertThat(fleet.members()).extracting("id").containsExactlyInAnyOrder("gw-0", "gw-1");
  }

  @Test
  void leavingInstanceRenewsItsLeaseUntilItLeaves() throws IOException {
    fleet.prepareToLeave();
    store.calls.clear();
    runForMs(OBSERVED_MS);
    assertThat(store.count("renew")).isPositive();
    fleet.leave();
    assertThat(store.count("revoke")).isEqualTo(1);
    store.calls.clear();
    runForMs(OBSERVED_MS);
    assertThat(store.calls).isEmpty();
  }

  @Test
  void newEraRegistersAgainWithoutTheOldLease() throws IOException {
    final long oldLease = store.last("write").lease();
    store.calls.clear();
    store.era = 1;
    fleet.onNewEra(1);
    assertThat(store.calls).isEmpty();
    runForMs(1_000);
    assertThat(store.calls).extracting(RecordingStore.Call::name).containsExactly("grant", "write");
    runForMs(OBSERVED_MS);
    assertThat(store.calls).noneMatch(call -> call.lease() == oldLease);
    assertThat(store.count("revoke")).isZero();
  }

  @Test
  void newEraSpreadsRegistrations() throws IOException {
    List<Long> waitsMs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      RecordingStore calls = new RecordingStore();
      FleetMembership other =
          new FleetMembership(loop, calls, "gw-" + i, new FleetEntry("127.0.0.1:9", 1, "z"));
      other.join();
      calls.calls.clear();
      other.onNewEra(1);
      long waitMs = 0;
      while (calls.calls.isEmpty() && waitMs < 2_000) {
        time.advanceMs(10);
        loop.runOnce(0);
        waitMs += 10;
      }
      waitsMs.add(waitMs);
    }
    assertThat(waitsMs).allMatch(waitMs -> waitMs < 1_000);
    assertThat(waitsMs).anyMatch(waitMs -> waitMs < 300).anyMatch(waitMs -> waitMs > 500);
  }

  @Test
  void removalOfTheEntryInTheEraBeforeIsIgnored() throws IOException {
    store.era = 1;
    fleet.onNewEra(1);
    runForMs(1_000);
    fleet.apply(
        new Item(OWN_KEY, "127.0.0.1:9 1 z".getBytes(StandardCharsets.UTF_8), 9),
        new StorePosition(1, 9));
    fleet.apply(new Item(OWN_KEY, null, 5_000), new StorePosition(0, 5_000));
    assertThat(fleet.isMember()).isTrue();
  }
}
