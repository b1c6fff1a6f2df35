package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.ReadPlacement;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.HttpExchange;
import io.hickorydrift.proxy.net.HttpServerConnection;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.net.TcpListener;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * An entry instance for callers whose sessions are connections.
 *
 * <p>Thread safety: confined to the loop's thread, but for {@link #stop}.
 */
public final class Gateway {
  private static final long TICK_MS = 50;
  private static final long NANOS_PER_MS = 1_000_000L;
  // Leaves room for a turn of the loop and a statement under way.
  private static final long KEY_MARGIN_MS = 400;
  // The balancer asks every second and needs two misses.
  private static final long NOTICE_MS = 2_200;
  private static final long LAST_MS = 700;
  private static final long QUIET_NANOS = 60_000_000L;
  // All sessions of an instance within about a second, without sending them all at once.
  private static final int CLOSES_A_TICK = 6;
  private static final String METRICS_PATH = "/metrics";
  private static final String PLAIN_TEXT = "text/plain";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final GatewaySettings settings;
  private final PlatformAdapter platform;
  private final EventLoop loop;
  private final Set<CallerSession> sessions = new LinkedHashSet<>();
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final TargetPools pools;
  private final StoreSync sync;
  private final PrimaryProber watch;
  private final Peers peers;
  private final OrganisationRateLimiter limits;
  private final PromotionController promotions;
  private final Metrics metrics = new Metrics();
  private final GatewayContext context;
  private Runnable whenStopped = () -> {};
  private final List<TcpListener> listeners = new ArrayList<>();
  private final HomeRouter homes;
  private boolean halted;
  private boolean stopping;
  private long stoppingNanos;

  /** Prepares an instance on {@code loop}; {@link #start} opens it. */
  public Gateway(EventLoop loop, GatewaySettings settings, PlatformAdapter platform) {
    this.loop = loop;
    this.settings = settings;
    this.platform = platform;
    declarations = new Declarations(loop, settings.keyValidityMs() - KEY_MARGIN_MS);
    KeyValueStore store = platform.store(loop, settings.storeAddress());
    fleet =
        new FleetMembership(
            loop, store, settings.id(), settings.peersListen(), settings.homeWeight());
    homes = new HomeRouter(loop, declarations, fleet, settings.id());
    pools = new TargetPools(loop, platform.targetCodec(), homes);
    Directory directory = new Directory(this::removed);
    watch = new PrimaryProber(loop, directory, pools, declarations, homes);
    peers = new Peers(loop, settings.id(), fleet, platform, declarations, directory, watch, homes);
    homes.start(peers);
    limits = new OrganisationRateLimiter(loop, declarations, fleet, peers, homes, settings.id());
    promotions =
        new PromotionController(
            loop,
            store,
            platform.promotionClient(loop, settings.promotionAddress()),
            directory,
            declarations,
            pools,
            watch,
            peers,
            homes,
            settings.id());
    sync =
        new StoreSync(
            loop,
            store,
            platform,
            declarations,
            directory,
            fleet,
            peers::providesProofs,
            homes::servesAnyGroup);
    context =
        new GatewayContext(
            loop,
            platform.callerCodec(),
            declarations,
            directory,
            new ReadPlacement(settings.failureDomain()),
            pools,
            limits,
            new RequestLog(loop),
            metrics,
            homes,
            new CommitConfirmations(loop, pools, settings.acknowledgement().policy()));
    gauges();
    loop.clock()
        .onClockPause(() -> directory.groups().forEach(group -> group.observedPositions().clear()));
  }

  /** Opens the instance; it serves while the loop runs. */
  public void start() throws IOException {
    Logger.info(
        "event=start instance={} failure_domain={}", settings.id(), settings.failureDomain());
    listen(settings.callersListen(), this::session);
    listen(
        settings.readinessListen(), channel -> new HttpServerConnection(channel, this::readiness));
    listen(
        settings.metricsListen(),
        channel -> new HttpServerConnection(channel, this::answerMetrics));
    listen(settings.peersListen(), peers::serve);
    peers.start(limits, new ForwardedStatementService(context), sync);
    limits.start();
    sync.start();
    fleet.join();
    loop.every(TICK_MS, this::tick);
  }

  private void removed(TargetState target) {
    pools.onTargetRemoved(target);
    watch.onTargetRemoved(target);
  }

  private void gauges() {
    metrics.registerGauge("sessions", "Open sessions of callers", sessions::size);
    metrics.registerGauge("fleet_size", "Instances that live, this one included", fleet::size);
    metrics.registerGauge(
        "declaration_version",
        "Version of the declaration in force",
        () -> declarations.current().version());
    metrics.registerGauge(
        "declaration_proof_age_milliseconds",
        "Age of the last proof that the declaration in force is the newest; -1 without one",
        declarations::proofAgeMs);
    metrics.registerGauge(
        "target_connections", "Open connections to targets", pools::connectionCount);
    metrics.registerGauge("ready", "1 if new sessions are taken", () -> isReady() ? 1 : 0);
  }

  private void answerMetrics(HttpExchange call) {
    boolean known = call.path().equals(METRICS_PATH);
    call.respond(known ? OK : NOT_FOUND, PLAIN_TEXT, known ? metrics.text() : "not found\n");
  }

  private CallerSession session(TcpChannel channel) {
    CallerSession session = new CallerSession(context, channel, sessions::remove);
    sessions.add(session);
    return session;
  }

  private void readiness(HttpExchange call) {
    if (!call.path().equals(platform.readinessPath())) {
      call.respond(NOT_FOUND, PLAIN_TEXT, "not found\n");
    } else if (isReady()) {
      call.respond(OK, PLAIN_TEXT, "ready\n");
    } else {
      call.respond(UNAVAILABLE, PLAIN_TEXT, "not ready\n");
    }
  }

  /** Returns whether the balancer may send new sessions here. */
  public boolean isReady() {
    return !stopping && sync.loaded() && declarations.keysConfirmedCurrent() && limits.hasShare();
  }

  private void listen(String address, Function<TcpChannel, ChannelHandler> handlers)
      throws IOException {
    listeners.add(new TcpListener(loop, address, handlers));
  }

  private void tick() {
    if (halted) {
      return;
    }
    long nowNanos = loop.nowNanos();
    pools.tick(nowNanos);
    limits.tick();
    sync.tick();
    watch.tick(nowNanos);
    if (!stopping) {
      promotions.tick(nowNanos, sync.settled());
    }
    for (CallerSession session : List.copyOf(sessions)) {
      session.tick(nowNanos);
    }
    if (stopping) {
      leave(nowNanos);
    }
  }

  /**
   * Closes sessions as they fall quiet, from half of the time on also right after an answer; what
   * is still under way near the end is cut.
   */
  private void leave(long nowNanos) {
    long stoppingMs = (nowNanos - stoppingNanos) / NANOS_PER_MS;
    if (stoppingMs < NOTICE_MS) {
      return;
    }
    boolean half = stoppingMs > settings.stopGraceMs() / 2;
    boolean last = stoppingMs > settings.stopGraceMs() - LAST_MS;
    int closed = 0;
    for (CallerSession session : List.copyOf(sessions)) {
      if (half) {
        session.rollBackIdleTransaction();
        session.closeAfterAnswer();
      }
      if (last || session.idleSince(nowNanos - QUIET_NANOS) && closed < CLOSES_A_TICK) {
        session.end("instance stops");
        closed++;
      }
    }
    if (sessions.isEmpty()) {
      Logger.info("event=stopped instance={} after_ms={}", settings.id(), stoppingMs);
      whenStopped.run();
    }
  }

  /** Returns whether this instance is the home of {@code group}. */
  public boolean isHome(String group) {
    return homes.isHome(group);
  }

  /** Returns how many connections to targets there are. */
  public int targetConnections() {
    return pools.connectionCount();
  }

  /** Closes everything at once, as the end of the process would. */
  public void halt() {
    halted = true;
    listeners.forEach(TcpListener::close);
    for (CallerSession session : List.copyOf(sessions)) {
      session.end("halted");
    }
    fleet.halt();
    peers.close();
    pools.close();
  }

  /** Begins to stop: lets open work end, leaves the fleet, and then runs {@code action}. */
  public void stop(Runnable action) {
    loop.post(() -> beginStop(action));
  }

  private void beginStop(Runnable action) {
    if (stopping) {
      return;
    }
    whenStopped = action;
    stopping = true;
    Logger.info("event=stopping sessions={}", sessions.size());
    fleet.leave();
    stoppingNanos = loop.nowNanos();
  }
}
