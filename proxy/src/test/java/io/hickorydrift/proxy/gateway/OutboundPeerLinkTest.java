package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.placement.Regions;
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
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that wait for a ping although they may be lost, against others that are
 * sent over a link that no longer works, and against statements that end twice or never.
 */
class OutboundPeerLinkTest {
  private static final long NO_ANSWER_MS = 450;
  private static final int MAX_ITERATIONS = 3_000;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final FleetMembership fleet =
      new FleetMembership(
          loop, new RecordingStore(), "gw-0", new FleetEntry("127.0.0.1:9", 1, "z"));
  private final PeerTraffic traffic = new PeerTraffic(new Metrics(), fleet, "z", Regions.NONE);
  private final List<PeerMessage> received = new ArrayList<>();
  private final List<String> ends = new ArrayList<>();
  private boolean silent;
  private OutboundPeerLink link;

  @BeforeEach
  void openLinkThatHasBeenIdle() throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel -> new InboundPeerLink(loop, traffic, channel, this::onRequest, closed -> {}));
    link =
        new OutboundPeerLink(
            loop, traffic, "gw-0", "gw-1", address, new StoreEra(), new IgnoringListener());
    runUntil(link::isUp);
    time.advanceMs(600);
    // The loop reads the time once in each iteration.
    loop.runOnce(0);
    received.clear();
  }

  private void onRequest(InboundPeerLink inbound, PeerMessage message) {
    received.add(message);
    if (message instanceof PeerMessage.Ping ping && !silent) {
      inbound.send(
          new PeerMessage.Pong(
              ping.sequence(), 1, 0, StorePosition.NONE, false, List.of(), List.of()));
    }
  }

  private static final class IgnoringListener implements OutboundPeerLink.Listener {
    @Override
    public void onPong(OutboundPeerLink from, PeerMessage.Pong pong, long pingNanos) {}

    @Override
    public void onResponse(OutboundPeerLink from, PeerMessage message) {}
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < MAX_ITERATIONS && !condition.getAsBoolean(); i++) {
      loop.runOnce(0);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private void forward(boolean atOnce) {
    Route route = new Route("main", "g", Consistency.PRIMARY, 2_000, 500, 1, 0, false, Set.of());
    Statement statement = new Statement("s1", StatementKind.READ, "READ a", "", "a", false);
    link.forward(
        new PeerMessage.Forward(
            0,
            0,
            false,
            "red",
            route,
            statement,
            null,
            Map.of(),
            null,
            true,
            0,
            AllowedRegions.ALL),
        2_000,
        atOnce,
        new OutboundPeerLink.ForwardListener() {
          @Override
          public void answered(StatementOutcome outcome) {
            ends.add("answered");
          }

          @Override
          public void lost() {
            ends.add("lost");
          }

          @Override
          public void notSent() {
            ends.add("not sent");
          }
        });
  }

  private List<String> receivedTypes() {
    return received.stream().map(message -> message.getClass().getSimpleName()).toList();
  }

  private void passTimeWithoutAnswer() throws IOException {
    time.advanceMs(NO_ANSWER_MS);
    runUntil(() -> !ends.isEmpty());
  }

  @Test
  void statementThatMayBeLostIsSentWithoutWaitingForPing() throws IOException {
    silent = true;
    forward(true);
    forward(true);
    runUntil(() -> received.size() == 3);
    assertThat(receivedTypes()).containsExactlyInAnyOrder("Forward", "Forward", "Ping");
    passTimeWithoutAnswer();
    assertThat(ends).containsExactly("lost", "lost");
    assertThat(link.isUp()).isFalse();
  }

  @Test
  void otherStatementWaitsForPing() throws IOException {
    forward(false);
    runUntil(() -> received.size() == 2);
    assertThat(receivedTypes()).containsExactly("Ping", "Forward");
  }

  @Test
  void otherStatementIsNotSentOverLinkThatDoesNotWork() throws IOException {
    silent = true;
    forward(true);
    forward(false);
    runUntil(() -> received.size() == 2);
    passTimeWithoutAnswer();
    assertThat(ends).containsExactlyInAnyOrder("lost", "not sent");
    assertThat(receivedTypes()).containsExactlyInAnyOrder("Forward", "Ping");
  }
}
