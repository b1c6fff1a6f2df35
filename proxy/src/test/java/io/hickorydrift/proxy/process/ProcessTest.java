package io.hickorydrift.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.config.SettingsDiff;
import io.hickorydrift.core.error.Outcome;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import io.hickorydrift.proxy.cli.OperatorClient;
import io.hickorydrift.proxy.control.InstanceStatus;
import io.hickorydrift.proxy.intake.OperatorHandler.Change;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.KeyDigest;
import io.hickorydrift.standin.target.TargetOptions;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * End-to-end tests with stand-ins of platform and targets and with instances as separate processes,
 * which are killed, suspended and stopped by signals.
 */
class ProcessTest {
  private static final int INSTANCES = 3;

  @TempDir private Path directory;
  private final List<ChildProcess> instances = new ArrayList<>();
  private final Map<String, ChildProcess> targets = new LinkedHashMap<>();
  private ChildProcess platform;
  private CallerClient caller;

  @BeforeEach
  void start() throws Exception {
    platform = new ChildProcess("address", "standin", "platform");
    Map<String, String> addresses = new LinkedHashMap<>();
    for (int t = 0; t < 3; t++) {
      String id = FleetPlan.targetId(0, t);
      ChildProcess target =
          new ChildProcess("address", "standin", "target", "--id", id, "--apply-lag-ms", "30");
      targets.put(id, target);
      addresses.put(id, target.address("address"));
    }
    for (String address : addresses.values()) {
      putJson(address + "/peers", Json.write(new TargetOptions.Peers(addresses)));
    }
    Map<String, String> seeds = new LinkedHashMap<>();
    for (int i = 0; i < INSTANCES; i++) {
      ChildProcess instance = startInstance(i, seeds);
      instances.add(instance);
      seeds.put("i-" + i, instance.address("peers"));
    }
    FleetPlan plan = FleetPlan.builder().instances(INSTANCES).build();
    apply("fleet", plan.fleetDeclaration(addresses));
    apply(FleetPlan.TEAM, plan.teamDeclaration());
    caller = new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
    awaitPrimaryAndPeers();
    assertThat(caller.call(callersAddress(0), "write-0", "CREATE TABLE t (id VARCHAR)").code())
        .isZero();
  }

  private ChildProcess startInstance(int number, Map<String, String> seeds) throws IOException {
    Path secret = directory.resolve("secret");
    Files.writeString(secret, LocalFleet.SECRET);
    List<String> peers = new ArrayList<>();
    seeds.forEach((id, address) -> peers.add(id + "@" + address));
    String text =
        "[instance]\nid = i-%d\nfailure_domain = d%d\n".formatted(number, number + 1)
            + "[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
            + "[platform]\naddress = %s\n".formatted(platform.address("address"))
            + "[fleet]\nsecret_file = %s\n".formatted(secret)
            + "operator_credential = %s\n".formatted(KeyDigest.of(LocalFleet.CREDENTIAL))
            + "[peers]\nseeds = %s\n[stop]\nnotice_ms = 300\n".formatted(String.join(",", peers));
    Path file = directory.resolve("i-" + number + ".ini");
    Files.writeString(file, text);
    return new ChildProcess("peers", "serve", "--settings", file.toString());
  }

  @AfterEach
  void stop() {
    instances.forEach(ChildProcess::close);
    targets.values().forEach(ChildProcess::close);
    platform.close();
  }

  private String callersAddress(int instance) {
    return instances.get(instance).address("callers");
  }

  private OperatorClient operator(int instance) {
    return new OperatorClient(instances.get(instance).address("operators"), LocalFleet.CREDENTIAL);
  }

  private void apply(String team, String declaration) {
    List<SectionChange> changes =
        SettingsDiff.between(new TreeMap<>(), IniFile.parse(team, declaration));
    operator(0).submitChange(team, new Change(0, UUID.randomUUID().toString(), changes));
  }

  private static void putJson(String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + path))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    CallerClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  private String primary(int instance) {
    InstanceStatus status = operator(instance).status();
    return status.groups().containsKey("group-0") ? status.groups().get("group-0").primary() : null;
  }

  private void awaitPrimaryAndPeers() {
    long endNanos = System.nanoTime() + 60_000_000_000L;
    for (int i = 0; i < INSTANCES; i++) {
      while (primary(i) == null || operator(i).status().peers().size() < INSTANCES - 1) {
        assertThat(System.nanoTime())
            .as("primary and peers observed within a minute")
            .isLessThan(endNanos);
      }
    }
  }

  private CompletableFuture<CallerAnswer> insert(int instance, String id) {
    return caller.call(
        callersAddress(instance),
        "write-0",
        id,
        CallerClient.body("INSERT INTO t VALUES (?)", null, 5_000L, id));
  }

  private List<String> readIds() {
    CallerAnswer read = caller.call(callersAddress(0), "read-0", "SELECT id FROM t");
    assertThat(read.code()).as(read.message()).isZero();
    List<String> ids = new ArrayList<>();
    read.rows().forEach(row -> ids.add(String.valueOf(((List<?>) row).get(0))));
    return ids;
  }

  @Test
  void writeThroughOneInstanceIsReadFromReplicaThroughAnother() throws Exception {
    assertThat(insert(0, "w").join().code()).isZero();
    CallerAnswer read = null;
    long endNanos = System.nanoTime() + 10_000_000_000L;
    while (read == null || !"replica".equals(read.targetRole())) {
      assertThat(System.nanoTime())
          .as("a replica serves the read within 10 s")
          .isLessThan(endNanos);
      read = caller.call(callersAddress(1), "read-0", "SELECT id FROM t");
      assertThat(read.rows().toString()).isEqualTo("[[w]]");
    }
  }

  @Test
  void suspendedPrimaryIsReplacedAndAcknowledgesNoWriteAfterItResumes() throws Exception {
    assertThat(insert(0, "before").join().code()).isZero();
    String oldPrimary = primary(0);
    targets.get(oldPrimary).signal("STOP");
    long startNanos = System.nanoTime();
    CallerAnswer after = insert(1, "after").join();
    long outageNanos = System.nanoTime() - startNanos;
    assertThat(after.code()).as(after.message()).isZero();
    assertThat(outageNanos).as("write outage below the stated 3 s").isLessThan(3_000_000_000L);
    targets.get(oldPrimary).signal("CONT");
    assertThat(insert(2, "later").join().code()).isZero();
    assertThat(readIds()).containsExactlyInAnyOrder("before", "after", "later");
    assertThat(primary(2)).isNotEqualTo(oldPrimary);
  }

  @Test
  void killedInstanceCausesNoLostOrDuplicateWrites() throws Exception {
    Map<String, ResultCode> outcomes = new ConcurrentHashMap<>();
    AtomicBoolean stop = new AtomicBoolean();
    final CompletableFuture<Void> writer =
        CompletableFuture.runAsync(
            () -> {
              for (int i = 0; !stop.get(); i++) {
                String id = "k" + i;
                outcomes.put(id, insertResultCode(id, i));
              }
            });
    String transaction = caller.call(callersAddress(1), "transaction-0", null).transaction();
    caller.call(
        callersAddress(2),
        "transactions/" + transaction + "/statement",
        "INSERT INTO t VALUES ('open')");
    awaitCount(outcomes, 40);
    instances.get(1).kill();
    awaitCount(outcomes, outcomes.size() + 60);
    stop.set(true);
    writer.join();

    List<String> rows = readIds();
    Set<String> distinctRows = new HashSet<>(rows);
    assertThat(rows).hasSameSizeAs(distinctRows);
    assertThat(distinctRows).as("row of an uncommitted transaction").doesNotContain("open");
    outcomes.forEach(
        (id, code) -> {
          if (code == ResultCode.OK) {
            assertThat(distinctRows).contains(id);
          } else if (code.outcome() == Outcome.NOT_RUN) {
            assertThat(distinctRows).doesNotContain(id);
          }
        });
  }

  private ResultCode insertResultCode(String id, int sequenceNumber) {
    int instance = sequenceNumber % 2 == 0 ? 0 : 2;
    try {
      return ResultCode.of(insert(instance, id).join().code());
    } catch (CompletionException e) {
      return ResultCode.OUTCOME_UNKNOWN;
    }
  }

  private static void awaitCount(Map<?, ?> map, int count) {
    long endNanos = System.nanoTime() + 30_000_000_000L;
    while (map.size() < count) {
      assertThat(System.nanoTime()).as("writes continue").isLessThan(endNanos);
      Thread.onSpinWait();
    }
  }

  @Test
  void gracefulStopAbortsNoRequest() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    List<ResultCode> codes = Collections.synchronizedList(new ArrayList<>());
    List<CompletableFuture<Void>> callers = new ArrayList<>();
    for (int c = 0; c < 4; c++) {
      int number = c;
      callers.add(
          CompletableFuture.runAsync(
              () -> {
                CallerClient client =
                    new CallerClient(CallerClient.newHttpClient(), FleetPlan.key(0));
                for (int i = 0; !stop.get(); i++) {
                  // Like a load balancer, sends to instance 1 while that reports ready.
                  String address = ready(1) ? callersAddress(1) : callersAddress(0);
                  String sql = "INSERT INTO t VALUES ('s" + number + "-" + i + "')";
                  codes.add(ResultCode.of(client.call(address, "write-0", sql).code()));
                }
              }));
    }
    awaitSize(codes, 100);
    instances.get(1).signal("TERM");
    assertThat(instances.get(1).waitFor(20)).isZero();
    awaitSize(codes, codes.size() + 50);
    stop.set(true);
    callers.forEach(CompletableFuture::join);
    assertThat(codes).containsOnly(ResultCode.OK);
  }

  @Test
  void hangupAbortsNoRequest() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    List<ResultCode> codes = Collections.synchronizedList(new ArrayList<>());
    final CompletableFuture<Void> writer =
        CompletableFuture.runAsync(
            () -> {
              for (int i = 0; !stop.get(); i++) {
                String sql = "INSERT INTO t VALUES ('h" + i + "')";
                codes.add(ResultCode.of(caller.call(callersAddress(1), "write-0", sql).code()));
              }
            });
    awaitSize(codes, 50);
    instances.get(1).signal("HUP");
    awaitSize(codes, codes.size() + 50);
    stop.set(true);
    writer.join();
    assertThat(codes).containsOnly(ResultCode.OK);
  }

  private static void awaitSize(List<?> list, int size) {
    long endNanos = System.nanoTime() + 30_000_000_000L;
    while (list.size() < size) {
      assertThat(System.nanoTime()).as("requests continue").isLessThan(endNanos);
      Thread.onSpinWait();
    }
  }

  private boolean ready(int instance) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://" + instances.get(instance).address("operators") + "/ready"))
              .build();
      return CallerClient.newHttpClient()
              .send(request, HttpResponse.BodyHandlers.discarding())
              .statusCode()
          == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
