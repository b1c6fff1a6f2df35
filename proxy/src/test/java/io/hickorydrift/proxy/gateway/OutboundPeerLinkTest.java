package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.scheduling.LinkWindow;
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
  private int peerVersion;
  private InboundPeerLink peer;
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
              ping.sequence(), 1, 0, StorePosition.NONE, false, List.of(), List.of(), peerVersion));
    }
    if (message instanceof PeerMessage.Forward && peer == null) {
      peer = inbound;
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
    deliver("s1", new OutboundForwards.Delivery(2_000, atOnce, false, 1));
  }

  /** Forwards a statement to a home by locality. */
  private OutboundForwards.Forwarded forwardToHome(String id, int priority) {
    return deliver(id, new OutboundForwards.Delivery(2_000, false, true, priority));
  }

  private OutboundForwards.Forwarded deliver(String id, OutboundForwards.Delivery delivery) {
    Route route = new Route("main", "g", Consistency.PRIMARY, 2_000, 500, 1, 0, false, Set.of());
    Statement statement = new Statement(id, StatementKind.READ, "READ a", "", "a", false);
    return link.forward(
        new PeerMessage.Forward(
            0,
            PeerMessage.TransactionRef.NONE,
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
        delivery,
        new OutboundForwards.Listener() {
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

          @Override
          public void refused(long retryAfterMs) {
            ends.add("refused");
          }

          @Override
          public void tooLarge() {
            ends.add("too large");
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

  /** Guards against statements that wait for a ping although their session or transaction began. */
  @Test
  void statementAfterCheckDoesNotWaitForAnotherPing() throws IOException {
    link.checkIfIdle();
    link.checkIfIdle();
    runUntil(link::hasRecentlyReceived);
    forward(false);
    runUntil(() -> received.size() == 2);
    assertThat(receivedTypes()).containsExactly("Ping", "Forward");
    link.checkIfIdle();
    forward(false);
    runUntil(() -> received.size() == 3);
    assertThat(receivedTypes()).containsExactly("Ping", "Forward", "Forward");
  }

  @Test
  void checkFindsLinkThatDoesNotWork() throws IOException {
    silent = true;
    link.checkIfIdle();
    runUntil(() -> received.size() == 1);
    time.advanceMs(NO_ANSWER_MS);
    runUntil(() -> !link.isUp());
  }

  private List<String> forwardedIds() {
    return received.stream()
        .filter(PeerMessage.Forward.class::isInstance)
        .map(message -> ((PeerMessage.Forward) message).statement().id())
        .toList();
  }

  private void answer(int correlation) {
    peer.send(
        new PeerMessage.Result(
            correlation, StatementOutcome.failed(FailureCode.BUSY, "busy", SessionState.IDLE)));
  }

  private void fillLink() throws IOException {
    for (int i = 1; i <= LinkWindow.MAX_OUTSTANDING; i++) {
      forwardToHome("s" + i, 1);
    }
    runUntil(() -> forwardedIds().size() == LinkWindow.MAX_OUTSTANDING);
  }

  /** Guards against a slow home that gets all statements of its entry instances. */
  @Test
  void statementsBeyondTheBoundWaitInOrderOfPriority() throws IOException {
    fillLink();
    forwardToHome("low", 2);
    forwardToHome("urgent", 0);
    forwardToHome("open", LinkWindow.OPEN_TRANSACTION);
    assertThat(link.waitingCount()).isEqualTo(3);
    answer(1);
    runUntil(() -> forwardedIds().contains("open"));
    answer(2);
    runUntil(() -> forwardedIds().contains("urgent"));
    assertThat(forwardedIds()).doesNotContain("low").hasSize(LinkWindow.MAX_OUTSTANDING + 2);
    assertThat(ends).containsExactly("answered", "answered");
  }

  @Test
  void statementsWithoutPlaceAreRefusedAfterTheLongestWait() throws IOException {
    fillLink();
    forwardToHome("late", 0);
    time.advanceMs(LinkWindow.MAX_WAIT_MS - 1);
    loop.runOnce(0);
    assertThat(ends).isEmpty();
    time.advanceMs(2);
    runUntil(() -> !ends.isEmpty());
    assertThat(ends).containsExactly("refused");
    answer(1);
    runUntil(() -> ends.size() == 2);
    assertThat(forwardedIds()).doesNotContain("late");
  }

  /** Guards against places that are lost with a link, so that fewer statements are sent later. */
  @Test
  void allPlacesAreFreeAfterTheLossOfTheLink() throws IOException {
    fillLink();
    forwardToHome("waiting", 0);
    peer.close();
    runUntil(() -> ends.size() == LinkWindow.MAX_OUTSTANDING + 1);
    assertThat(ends).containsOnly("lost", "not sent").containsOnlyOnce("not sent");
    time.advanceMs(400);
    loop.runOnce(0);
    link.heartbeat(true);
    runUntil(link::isUp);
    received.clear();
    peer = null;
    fillLink();
  }

  /** Guards against statements of which the home believes that they have more time than is left. */
  @Test
  void ageIncludesTheWaitForPlaceAndPing() throws IOException {
    silent = true;
    forwardToHome("s1", 0);
    runUntil(() -> received.size() == 1);
    time.advanceMs(200);
    loop.runOnce(0);
    silent = false;
    link.requestStatus();
    runUntil(() -> forwardedIds().size() == 1);
    assertThat(forwardAge("s1")).isEqualTo(200);
    received.clear();
    for (int i = 2; i <= LinkWindow.MAX_OUTSTANDING; i++) {
      forwardToHome("s" + i, 1);
    }
    forwardToHome("waits", 0);
    time.advanceMs(80);
    loop.runOnce(0);
    answer(1);
    runUntil(() -> forwardedIds().contains("waits"));
    assertThat(forwardAge("waits")).isEqualTo(80);
  }

  private long forwardAge(String id) {
    for (PeerMessage message : received) {
      if (message instanceof PeerMessage.Forward forward && forward.statement().id().equals(id)) {
        return forward.ageMs();
      }
    }
    throw new AssertionError("not received: " + id);
  }

  /** Guards against callers of a lost home that wait for the timeout of an idle link. */
  @Test
  void lossOfHomeWithStatementsIsNoticedWithinOneSecond() throws IOException {
    link.heartbeat(false);
    updateStatus();
    forwardToHome("s1", 0);
    runUntil(() -> forwardedIds().size() == 1);
    silent = true;
    int elapsedMs = 0;
    for (; ends.isEmpty() && elapsedMs < 3_000; elapsedMs += 10) {
      if (elapsedMs % 400 == 390) {
        link.heartbeat(false);
      }
      time.advanceMs(10);
      loop.runOnce(0);
    }
    assertThat(ends).containsExactly("lost");
    assertThat(elapsedMs).isLessThan(1_000);
  }

  private void updateStatus() throws IOException {
    PeerMessage.Pong before = link.lastPong();
    link.requestStatus();
    runUntil(() -> link.lastPong() != before);
  }

  @Test
  void homeIsToldOfCancelledStatement() throws IOException {
    peerVersion = PeerMessage.PROTOCOL_VERSION;
    updateStatus();
    OutboundForwards.Forwarded statement = forwardToHome("s1", 0);
    runUntil(() -> forwardedIds().size() == 1);
    statement.cancel();
    runUntil(() -> received.contains(new PeerMessage.Cancel(1)));
    assertThat(ends).isEmpty();
    answer(1);
    runUntil(() -> ends.equals(List.of("answered")));
    statement.cancel();
    updateStatus();
    assertThat(receivedTypes()).containsOnlyOnce("Cancel");
  }

  /** An instance of the version before closes a link with a message that it does not know. */
  @Test
  void peerOfVersionBeforeIsNotSentCancellations() throws IOException {
    updateStatus();
    OutboundForwards.Forwarded statement = forwardToHome("s1", 0);
    runUntil(() -> forwardedIds().size() == 1);
    statement.cancel();
    updateStatus();
    assertThat(receivedTypes()).doesNotContain("Cancel");
    answer(1);
    runUntil(() -> ends.equals(List.of("answered")));
  }

  /** Guards against a cancellation sent to an instance that was replaced by one of before. */
  @Test
  void versionOfThePeerIsForgottenWithTheConnection() throws IOException {
    peerVersion = PeerMessage.PROTOCOL_VERSION;
    updateStatus();
    forwardToHome("s1", 0);
    runUntil(() -> peer != null);
    peer.close();
    runUntil(() -> !ends.isEmpty());
    peerVersion = 0;
    time.advanceMs(400);
    loop.runOnce(0);
    link.heartbeat(true);
    runUntil(link::isUp);
    OutboundForwards.Forwarded statement = forwardToHome("s2", 0);
    runUntil(() -> forwardedIds().contains("s2"));
    statement.cancel();
    updateStatus();
    assertThat(receivedTypes()).doesNotContain("Cancel");
  }

  /** Guards against statements that reach the home after the end of their transaction. */
  @Test
  void statementThatWaitsIsNotSentOnceItIsCancelledOrDropped() throws IOException {
    silent = true;
    OutboundForwards.Forwarded cancelled = forwardToHome("cancelled", 0);
    forwardToHome("dropped", 0).drop();
    cancelled.cancel();
    forwardToHome("kept", 0);
    silent = false;
    link.requestStatus();
    runUntil(() -> forwardedIds().contains("kept"));
    assertThat(forwardedIds()).containsExactly("kept");
    assertThat(ends).containsExactly("not sent");
  }

  private long correlationOf(String id) {
    return received.stream()
        .filter(PeerMessage.Forward.class::isInstance)
        .map(PeerMessage.Forward.class::cast)
        .filter(forward -> forward.statement().id().equals(id))
        .mapToLong(PeerMessage.Forward::correlation)
        .findFirst()
        .orElseThrow();
  }

  private void sendResult(long correlation) {
    peer.send(new PeerMessage.Result(correlation, StatementOutcome.done(SessionState.IDLE)));
  }

  private void deliverSent() throws IOException {
    // The answer to a ping arrives after what was sent before it.
    PeerMessage.Pong last = link.lastPong();
    link.requestStatus();
    runUntil(() -> link.lastPong() != last);
  }

  @Test
  void repeatedAndForeignResultsEndNothing() throws IOException {
    OutboundForwards.Delivery delivery = new OutboundForwards.Delivery(2_000, true, false, 1);
    deliver("s1", delivery);
    deliver("s2", delivery);
    runUntil(() -> forwardedIds().size() == 2);
    sendResult(correlationOf("s2"));
    sendResult(correlationOf("s2"));
    sendResult(correlationOf("s2") + 1);
    deliverSent();
    assertThat(ends).containsExactly("answered");
    sendResult(correlationOf("s1"));
    deliverSent();
    assertThat(ends).containsExactly("answered", "answered");
  }

  @Test
  void resultForStatementOfFormerConnectionEndsNothing() throws IOException {
    OutboundForwards.Delivery delivery = new OutboundForwards.Delivery(2_000, true, false, 1);
    deliver("s1", delivery);
    runUntil(() -> peer != null);
    peer.close();
    peer = null;
    runUntil(() -> !ends.isEmpty());
    time.advanceMs(400);
    loop.runOnce(0);
    link.heartbeat(true);
    runUntil(link::isUp);
    deliver("s2", delivery);
    runUntil(() -> peer != null);
    sendResult(correlationOf("s1"));
    deliverSent();
    assertThat(ends).containsExactly("lost");
    sendResult(correlationOf("s2"));
    deliverSent();
    assertThat(ends).containsExactly("lost", "answered");
  }

  /** Guards against an old status that is taken for a new one. */
  @Test
  void repeatedPongIsNoNewStatus() throws IOException {
    forward(true);
    runUntil(() -> peer != null);
    deliverSent();
    PeerMessage.Pong last = link.lastPong();
    time.advanceMs(300);
    loop.runOnce(0);
    peer.send(
        new PeerMessage.Pong(
            last.sequence(), 2, 0, StorePosition.NONE, true, List.of(), List.of(), 0));
    long receivedBefore = received.size();
    forward(true);
    runUntil(() -> received.size() > receivedBefore);
    sendResult(correlationOf("s1"));
    runUntil(() -> !ends.isEmpty());
    assertThat(link.lastPong().version()).isEqualTo(last.version());
    assertThat(link.statusAgeMs()).isGreaterThanOrEqualTo(300);
  }
}
