package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.bench.FreePorts;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.net.TcpListener;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a home that begins a transaction with a statement that is not its first one. */
class ForwardedStatementServiceTest {
  private static final int MAX_ITERATIONS = 3_000;
  private static final Route ROUTE =
      new Route("main", "g", Consistency.PRIMARY, 2_000, 500, 1, 0, false, Set.of());

  private final EventLoop loop = new EventLoop(new ManualTime());
  private final Metrics metrics = new Metrics();
  private final Directory directory = new Directory(target -> {});
  private final Declarations declarations = new Declarations(loop, 5_000);
  private final FleetMembership fleet =
      new FleetMembership(
          loop, new RecordingStore(), "gw-0", new FleetEntry("127.0.0.1:9", 1, "z"));
  private final HomeRouter homes =
      new HomeRouter(loop, declarations, fleet, directory, "gw-0", Regions.NONE);
  private final PeerTraffic traffic = new PeerTraffic(metrics, fleet, "z", Regions.NONE);
  // Without pools, a statement that ran would fail the test.
  private final ForwardedStatementService service =
      new ForwardedStatementService(
          new GatewayContext(
              loop,
              null,
              declarations,
              directory,
              null,
              null,
              null,
              new RequestLog(loop),
              metrics,
              homes,
              null,
              Regions.NONE,
              null,
              null,
              null,
              null,
              null));

  private OutboundPeerLink openLink() throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel -> new InboundPeerLink(loop, traffic, channel, this::onRequest, closed -> {}));
    return new OutboundPeerLink(
        loop,
        traffic,
        "gw-1",
        "gw-0",
        address,
        new StoreEra(),
        new OutboundPeerLink.Listener() {
          @Override
          public void onPong(OutboundPeerLink from, PeerMessage.Pong pong, long pingNanos) {}

          @Override
          public void onResponse(OutboundPeerLink from, PeerMessage message) {}
        });
  }

  private void onRequest(InboundPeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.Ping ping) {
      link.send(
          new PeerMessage.Pong(
              ping.sequence(), 1, 0, StorePosition.NONE, false, List.of(), List.of()));
    } else if (message instanceof PeerMessage.Forward forward) {
      service.run(link, forward);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = StatementKind.class,
      names = {"READ", "WRITE", "COMMIT"})
  void statementOfUnknownTransactionIsAborted(StatementKind kind) throws IOException {
    OutboundPeerLink link = openLink();
    runUntilUp(link);
    List<StatementOutcome> outcomes = new ArrayList<>();
    link.forward(
        new PeerMessage.Forward(
            0,
            new PeerMessage.TransactionRef(7, true),
            false,
            "red",
            ROUTE,
            new Statement("q1", kind, kind.name(), "", "", false),
            null,
            Map.of(),
            null,
            true,
            0,
            AllowedRegions.ALL),
        new OutboundForwards.Delivery(2_000, true, false, 1),
        new OutboundForwards.Listener() {
          @Override
          public void answered(StatementOutcome outcome) {
            outcomes.add(outcome);
          }

          @Override
          public void lost() {}

          @Override
          public void notSent() {}

          @Override
          public void refused(long retryAfterMs) {}

          @Override
          public void tooLarge() {}
        });
    for (int i = 0; i < MAX_ITERATIONS && outcomes.isEmpty(); i++) {
      loop.runOnce(0);
    }
    SessionState after = kind == StatementKind.COMMIT ? SessionState.IDLE : SessionState.FAILED;
    assertThat(outcomes).hasSize(1);
    assertThat(outcomes.get(0).failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(outcomes.get(0).state()).isEqualTo(after);
  }

  private void runUntilUp(OutboundPeerLink link) throws IOException {
    for (int i = 0; i < MAX_ITERATIONS && !link.isUp(); i++) {
      loop.runOnce(0);
    }
    assertThat(link.isUp()).isTrue();
  }

  private static PeerMessage.Forward forwardOf(StatementKind kind, long transaction) {
    return new PeerMessage.Forward(
        1,
        new PeerMessage.TransactionRef(transaction, true),
        false,
        "red",
        new Route("", "g", Consistency.PRIMARY, 800, 250, 1, 0, true, Set.of()),
        new Statement("q1", kind, "", "", "", false),
        null,
        Map.of(),
        null,
        true,
        0,
        AllowedRegions.ALL);
  }

  /** Guards against a promise for a write that was applied and whose result cannot be sent. */
  @ParameterizedTest
  @CsvSource({
    "READ, 0, false, TOO_LARGE, IDLE",
    "READ, 0, true, BUSY, IDLE",
    "READ, 4, false, TOO_LARGE, FAILED",
    "WRITE, 4, true, BUSY, FAILED",
    "WRITE, 0, false, IN_DOUBT, IDLE",
    "WRITE, 0, true, IN_DOUBT, IDLE",
    "COMMIT, 4, false, IN_DOUBT, IDLE"
  })
  void callerHearsTheTruthIfTheResultCannotBeSent(
      StatementKind kind, long transaction, boolean fits, FailureCode code, SessionState state) {
    StatementOutcome success =
        new StatementOutcome(List.of("row"), "sig", null, "", SessionState.IDLE, null);
    StatementOutcome sent =
        ForwardedStatementService.inPlaceOf(success, forwardOf(kind, transaction), fits);
    assertThat(sent.failure()).isEqualTo(code);
    assertThat(sent.state()).isEqualTo(state);
  }

  @Test
  void failureWithLongReasonKeepsItsCode() {
    StatementOutcome failure =
        StatementOutcome.failed(FailureCode.TIMEOUT, "x".repeat(100), SessionState.IDLE);
    StatementOutcome sent =
        ForwardedStatementService.inPlaceOf(failure, forwardOf(StatementKind.WRITE, 0), false);
    assertThat(sent.failure()).isEqualTo(FailureCode.TIMEOUT);
    assertThat(sent.reason()).hasSizeLessThan(100);
  }
}
