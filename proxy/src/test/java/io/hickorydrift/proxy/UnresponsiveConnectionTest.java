package io.hickorydrift.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import io.hickorydrift.standin.platform.PlatformFaults;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests connections that stay open but deliver no bytes, and network partitions, between instances
 * and targets and between instances.
 */
class UnresponsiveConnectionTest {
  private static final long DEADLINE_MS = 4_000;
  private static final long MAX_AGE_MS = 100;

  private final Map<String, TcpRelay> relays = new HashMap<>();
  private LocalFleet fleet;
  private CallerClient caller;

  @BeforeEach
  void start() {
    fleet =
        LocalFleet.start(
            FleetPlan.builder().instances(3).replicationLag(0, 20).build(),
            (id, address) -> relayTo(id, address).address());
    caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    assertThat(write(0, "CREATE TABLE t (id VARCHAR)").code()).isZero();
  }

  private TcpRelay relayTo(String id, String address) {
    return relays.computeIfAbsent(
        id,
        name -> {
          try {
            return new TcpRelay(address);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    for (TcpRelay relay : relays.values()) {
      relay.close();
    }
  }

  private CallerAnswer write(int instance, String sql) {
    return caller
        .call(
            fleet.instances().get(instance).callersAddress(),
            "write-0",
            null,
            CallerClient.body(sql, null, DEADLINE_MS))
        .join();
  }

  private CallerAnswer read(int instance, String sql) {
    return caller
        .call(
            fleet.instances().get(instance).callersAddress(),
            "read-0",
            null,
            CallerClient.body(sql, null, DEADLINE_MS))
        .join();
  }

  private long term() {
    return fleet.instances().get(0).status().groups().get("group-0").term();
  }

  @Test
  void unresponsiveTargetConnectionsCauseNoFailureAndNoFailover() {
    long term = term();
    fleet.targets().keySet().forEach(id -> relays.get(id).dropBytesOfOpenConnections());
    for (int i = 0; i < 6; i++) {
      CallerAnswer written = write(i % 3, "INSERT INTO t VALUES ('r" + i + "')");
      assertThat(written.code()).as(written.message()).isZero();
      CallerAnswer seen = read((i + 1) % 3, "SELECT COUNT(*) FROM t");
      assertThat(seen.code()).as(seen.message()).isZero();
      assertThat(seen.rows().toString()).isEqualTo("[[" + (i + 1) + "]]");
    }
    assertThat(term()).as("no change of primary").isEqualTo(term);
  }

  @Test
  void unresponsiveLinksBetweenInstancesAreReplaced() {
    fleet.instances().forEach(instance -> relays.get(instance.id()).dropBytesOfOpenConnections());
    for (int i = 0; i < 6; i++) {
      CallerAnswer written = write(i % 3, "INSERT INTO t VALUES ('p" + i + "')");
      assertThat(written.code()).as(written.message()).isZero();
    }
    assertThat(read(0, "SELECT COUNT(*) FROM t").rows().toString()).isEqualTo("[[6]]");
  }

  @Test
  void primaryPartitionedFromInstancesIsReplacedAndRejoins() {
    String oldPrimary = fleet.primary("group-0");
    relays.get(oldPrimary).dropAllBytes();
    CallerAnswer during = write(0, "INSERT INTO t VALUES ('during')");
    assertThat(during.code()).as(during.message()).isZero();
    assertThat(fleet.primary("group-0")).isNotEqualTo(oldPrimary);
    relays.get(oldPrimary).clearFaults();
    for (int i = 0; i < 6; i++) {
      assertThat(write(i % 3, "INSERT INTO t VALUES ('after')").code()).isZero();
    }
    assertThat(read(1, "SELECT COUNT(*) FROM t").rows().toString()).isEqualTo("[[7]]");
  }

  /** Instance 2 and target 2 are partitioned from the store and from all other failure domains. */
  @Test
  void partitionedDomainServesReadsOfAnyAgeAndReportsOtherOutcomesCorrectly() {
    assertThat(write(0, "INSERT INTO t VALUES ('seen')").code()).isZero();
    assertThat(read(2, "SELECT COUNT(*) FROM t").rows().toString()).isEqualTo("[[1]]");
    String localTarget = FleetPlan.targetId(0, 2);
    fleet.await(
        "replica has the row", () -> fleet.targets().get(localTarget).lastPosition().index() >= 3);
    fleet.platform().setFaults(new PlatformFaults(true, 0, false));
    relays.forEach(
        (id, relay) -> {
          if (!id.equals(localTarget) && !id.equals("i-2")) {
            relay.dropAllBytes();
          }
        });
    final long cutNanos = System.nanoTime();
    for (int i = 0; i < 5; i++) {
      CallerAnswer unbounded = read(2, "SELECT COUNT(*) FROM t");
      assertThat(unbounded.code()).as(unbounded.message()).isZero();
      assertThat(unbounded.rows().toString()).isEqualTo("[[1]]");
      assertThat(unbounded.target()).isEqualTo(localTarget);
    }
    // Until then a proof from before the partition may hold, and the read is rightly served.
    fleet.await(
        "proofs of freshness older than the bound",
        () -> System.nanoTime() - cutNanos > TimeUnit.MILLISECONDS.toNanos(MAX_AGE_MS));
    CallerAnswer boundedStaleness =
        caller
            .call(
                fleet.instances().get(2).callersAddress(),
                "read-0",
                null,
                CallerClient.body("SELECT 1", MAX_AGE_MS, DEADLINE_MS))
            .join();
    assertThat(boundedStaleness.code())
        .isIn((long) ResultCode.TOO_STALE.number(), (long) ResultCode.NO_TARGET.number());
    CallerAnswer written = write(2, "INSERT INTO t VALUES ('cut off')");
    assertThat(written.code()).isNotZero();
    relays.values().forEach(TcpRelay::clearFaults);
    fleet.platform().setFaults(PlatformFaults.NONE);
    CallerAnswer writtenAfterwards = write(2, "INSERT INTO t VALUES ('healed')");
    assertThat(writtenAfterwards.code()).as(writtenAfterwards.message()).isZero();
    boolean mayHaveRun = written.code() == ResultCode.OUTCOME_UNKNOWN.number();
    assertThat(read(0, "SELECT COUNT(*) FROM t").rows().toString())
        .isIn(mayHaveRun ? List.of("[[2]]", "[[3]]") : List.of("[[2]]"));
  }

  @Test
  void instancePartitionedFromPeersServesItsGroup() {
    for (int i = 0; i < 3; i++) {
      relays.get("i-" + i).dropAllBytes();
    }
    for (int i = 0; i < 6; i++) {
      CallerAnswer written = write(i % 3, "INSERT INTO t VALUES ('alone" + i + "')");
      assertThat(written.code()).as(written.message()).isZero();
    }
  }
}
