package io.hickorydrift.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.session.TokenMac;
import io.hickorydrift.proxy.home.HomeService;
import io.hickorydrift.proxy.home.ObserverPort;
import io.hickorydrift.proxy.peer.PeerListener;
import io.hickorydrift.proxy.peer.PeerNetwork;
import io.hickorydrift.proxy.runtime.TimerService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that a home has but does not deliver because it has no link to the entry
 * instance yet: the caller then waits until its deadline and gets an unknown outcome.
 */
class RouterTest {
  private static final TokenMac FLEET_MAC = new TokenMac(new byte[32]);
  private static final long DEADLINE_MS = 5_000;

  private static final Settings SETTINGS =
      new Settings(
          1,
          true,
          new TreeMap<>(),
          Map.of(),
          new TreeMap<>(
              Map.of(
                  "g",
                  new Settings.Group(
                      "g", 1, List.of(new Settings.Target("t", "127.0.0.1:1", "d1", 1))))),
          new TreeMap<>(),
          new TreeMap<>(Map.of("d1", 1)),
          Map.of());

  private final BlockingQueue<Record> receivedByEntry = new LinkedBlockingQueue<>();
  private final BlockingQueue<Record> receivedByHome = new LinkedBlockingQueue<>();
  private final BlockingQueue<ForwardAnswer> replies = new LinkedBlockingQueue<>();
  private final TimerService timer = new TimerService();
  private PeerNetwork entry;
  private PeerNetwork homePeers;
  private HomeService home;
  private Router router;

  @BeforeEach
  void create() throws IOException {
    entry = network("entry", receivedByEntry);
    homePeers = network("home", receivedByHome);
    home =
        new HomeService(
            "home",
            "d1",
            address -> CompletableFuture.failedFuture(new IOException("no target")),
            Policy.STANDARD,
            new NoObservers(),
            timer);
    router = new Router("home", "d1", home, homePeers, timer);
  }

  @AfterEach
  void close() {
    home.close();
    timer.close();
    homePeers.close();
    entry.close();
  }

  private static PeerNetwork network(String name, BlockingQueue<Record> received)
      throws IOException {
    PeerListener listener =
        new PeerListener() {
          @Override
          public void onMessage(String peer, Record message) {
            received.add(message);
          }

          @Override
          public void onLinkClosed(String peer) {}
        };
    PeerNetwork network =
        new PeerNetwork(name, new InetSocketAddress("127.0.0.1", 0), FLEET_MAC, listener);
    network.start();
    return network;
  }

  private static final class NoObservers implements ObserverPort {
    @Override
    public void sendSuspicion(List<String> observers, Suspicion suspicion) {}

    @Override
    public void publishPrimary(List<String> observers, PrimaryNotice notice) {}

    @Override
    public void reserveTerm(String group, long aboveTerm, LongConsumer reserved) {}
  }

  private static ForwardRequest write(long correlationId) {
    return ForwardRequest.builder()
        .correlationId(correlationId)
        .organisation("o")
        .group("g")
        .op(HomeOp.WRITE)
        .deadlineMs(DEADLINE_MS)
        .build();
  }

  @Test
  void answerIsDeliveredToAnEntryInstanceWithoutLink() throws Exception {
    homePeers.setPeers(Map.of("entry", entry.address()), Set.of());
    router.onForwardRequest("entry", write(7));

    ForwardAnswer answer = (ForwardAnswer) receivedByEntry.poll(DEADLINE_MS, TimeUnit.MILLISECONDS);
    assertThat(answer).isNotNull();
    assertThat(answer.correlationId()).isEqualTo(7);
    // The home has no groups.
    assertThat(answer.code()).isEqualTo(ResultCode.NO_HOME.number());
  }

  /** Returns the router of the entry instance, which has just started. */
  private Router startEntryRouter() {
    Router started = new Router("entry", "d1", home, entry, timer);
    started.setSlotHolders(Map.of(0, "home"));
    entry.setPeers(Map.of("home", homePeers.address()), Set.of());
    return started;
  }

  /** Routes a request and returns its correlation id, once the home has received it. */
  private long route(Router entryRouter) throws InterruptedException {
    entryRouter.route(write(0), SETTINGS, replies::add);
    ForwardRequest request =
        (ForwardRequest) receivedByHome.poll(DEADLINE_MS, TimeUnit.MILLISECONDS);
    assertThat(request).isNotNull();
    return request.correlationId();
  }

  private static ForwardAnswer answer(long correlationId, String target) {
    return ForwardAnswer.builder().correlationId(correlationId).code(0).target(target).build();
  }

  /** A home sends its answer over a link of its own, which outlives the entry instance. */
  @Test
  void answerToRequestBeforeRestartIsNotDelivered() throws Exception {
    // Connects the link; a router that finds it connected sends once.
    route(startEntryRouter());
    long before = route(startEntryRouter());
    Router restarted = startEntryRouter();
    long after = route(restarted);
    restarted.onForwardAnswer("home", answer(before, "earlier"), SETTINGS);
    restarted.onForwardAnswer("home", answer(after, "own"), SETTINGS);
    assertThat(replies).extracting(ForwardAnswer::target).containsExactly("own");
  }

  @Test
  void answerOfAnotherPeerIsNotDelivered() throws Exception {
    Router entryRouter = startEntryRouter();
    long id = route(entryRouter);
    entryRouter.onForwardAnswer("other", answer(id, "foreign"), SETTINGS);
    entryRouter.onForwardAnswer("home", answer(id, "own"), SETTINGS);
    entryRouter.onForwardAnswer("home", answer(id, "repeated"), SETTINGS);
    assertThat(replies).extracting(ForwardAnswer::target).containsExactly("own");
  }
}
