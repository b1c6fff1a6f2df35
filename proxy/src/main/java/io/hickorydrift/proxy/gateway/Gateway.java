package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.ReplicaOrder;
import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.ReadPlacement;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.placement.UnknownRegions;
import io.hickorydrift.core.statement.TextBudget;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.net.TcpListener;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.PlatformAdapter;
import io.hickorydrift.proxy.port.PromotionClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * A gateway instance. Serves callers over TCP; each connection is one session.
 *
 * <p>Thread safety: confined to the loop's thread, except for {@link #stop}.
 */
public final class Gateway {
  private static final long TICK_MS = 50;
  private static final long NANOS_PER_MS = 1_000_000L;
  // Covers one event loop iteration and a statement in flight.
  private static final long KEY_VALIDITY_MARGIN_MS = 400;
  // The load balancer probes every second and removes an instance after two failed probes.
  private static final long BALANCER_REMOVAL_MS = 2_200;
  private static final long FORCED_CLOSE_BEFORE_END_MS = 700;
  // Time for the call that removes the fleet entry; the entry expires if it is lost.
  private static final long LEAVE_MS = 100;
  private static final String STOPPING = "instance is stopping";
  // Another instance takes the session as soon as the balancer chooses one.
  private static final long STOPPING_RETRY_MS = 20;
  private static final long IDLE_SESSION_NANOS = 60_000_000L;
  // Unfinished messages may occupy a quarter.
  private static final int SESSION_SHARE_OF_HEAP = 8;
  // Closes all sessions of an instance within about a second, but not all at the same time.
  private static final int MAX_CLOSES_PER_TICK = 6;

  private GatewaySettings settings;
  private final PlatformAdapter platform;
  private final EventLoop loop;
  private final RefusedConnections refusedConnections = new RefusedConnections();
  private final Set<CallerSession> sessions = new LinkedHashSet<>();
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final TargetPools pools;
  private final Directory directory;
  private final StoreSync sync;
  private final RelayService relay;
  private final PrimaryProber prober;
  private final Peers peers;
  private final OrganisationRateLimiter limits;
  private final PromotionController promotions;
  private final KeyValueStore store;
  private final PromotionClient promotionClient;
  private final CommitConfirmations confirmations;
  private final EvacuationService evacuations;
  private final WarmUpLimits warmUps;
  private final TargetOutcomes outcomes;
  private final Metrics metrics = new Metrics();
  private final StoreEra era = new StoreEra();
  private final StartSteps steps;
  private final GatewayContext context;
  private Runnable onStopped = () -> {};
  private final List<TcpListener> listeners = new ArrayList<>();
  private final HomeRouter homes;
  private boolean halted;
  private boolean stopping;
  private boolean stopped;
  private long stoppingNanos;
  private long stopGraceMs;

  /** Creates an instance on {@code loop}; {@link #start} opens its ports. */
  public Gateway(EventLoop loop, GatewaySettings settings, PlatformAdapter platform) {
    this.loop = loop;
    this.settings = settings;
    this.platform = platform;
    steps = new StartSteps(loop, metrics);
    declarations = new Declarations(loop, usableKeyValidityMs(settings));
    store =
        new EraCheckedStore(
            new CountingStore(platform.store(loop, settings.storeAddress()), metrics), era, steps);
    promotionClient = platform.promotionClient(loop, settings.promotionAddress());
    fleet = new FleetMembership(loop, store, settings.id(), settings.fleetEntry());
    Evacuations evacuated = new Evacuations();
    evacuations =
        new EvacuationService(loop, platform, evacuated, metrics, settings.evacuationMs() / 2);
    directory = new Directory(this::onTargetRemoved, evacuated, loop::nowNanos);
    homes = new HomeRouter(loop, declarations, fleet, directory, settings.id(), settings.regions());
    pools = new TargetPools(loop, platform.targetCodec(), homes, declarations);
    RequestLog requestLog = new RequestLog(loop);
    pools.observeAnswers(new AnswerLog(requestLog, metrics));
    prober = new PrimaryProber(loop, directory, pools, declarations, homes, steps);
    evacuations.onChange(prober::updateRecoveryEstimators);
    DeclarationExchange exchange = new DeclarationExchange(loop, declarations, platform);
    peers =
        new Peers(
            loop,
            new PeerTraffic(metrics, fleet, settings.failureDomain(), settings.regions()),
            settings.id(),
            fleet,
            declarations,
            exchange,
            directory,
            pools,
            prober,
            homes,
            era,
            steps);
    homes.start(peers);
    StartHold startHold = new StartHold(loop, this::isLoaded);
    limits =
        new OrganisationRateLimiter(
            loop,
            declarations,
            fleet,
            peers,
            homes,
            settings.id(),
            settings.regions(),
            metrics,
            startHold);
    promotions =
        new PromotionController(
            new PromotionServices(loop, store, promotionClient, pools, declarations, settings.id()),
            directory,
            prober,
            peers,
            homes);
    StoreContents contents =
        new StoreContents(
            loop, platform, declarations, directory, fleet, evacuations, peers::isUp, steps);
    relay = new RelayService(exchange, declarations, contents::items);
    sync =
        new StoreSync(loop, store, contents, declarations, fleet, peers, relay, era, settings.id());
    era.addListener(source -> fleet.onNewEra(era.current()));
    era.addListener(source -> promotions.onNewEra());
    confirmations =
        new CommitConfirmations(
            loop,
            pools,
            settings.acknowledgement().policy(),
            new ReplicaOrder(settings.failureDomain(), settings.regions()),
            homes::usesLocality);
    warmUps = new WarmUpLimits(loop, declarations, directory, homes, settings.regions());
    outcomes =
        new TargetOutcomes(
            loop, directory, declarations, settings.regions().isMultiRegion(), metrics);
    context =
        new GatewayContext(
            loop,
            platform.callerCodec(),
            declarations,
            directory,
            new ReadPlacement(settings.failureDomain(), settings.regions()),
            pools,
            limits,
            requestLog,
            metrics,
            homes,
            confirmations,
            settings.regions(),
            evacuations,
            warmUps,
            outcomes,
            new SessionOpenings(declarations, homes, startHold),
            new TextBudget(Runtime.getRuntime().maxMemory() / SESSION_SHARE_OF_HEAP));
    registerGauges();
    UnknownRegions unknownRegions = new UnknownRegions(settings.regions());
    declarations.setAcceptedListener(
        accepted -> {
          steps.record(StartSteps.Step.DECLARATION);
          logUnknownRegions(unknownRegions, accepted);
        });
    loop.clock()
        .onClockPause(() -> directory.groups().forEach(group -> group.observedPositions().clear()));
  }

  private static void logUnknownRegions(UnknownRegions unknown, Declaration accepted) {
    unknown
        .newIn(accepted)
        .forEach(
            region ->
                Logger.warn(
                    "event=region_unknown region={} version={}", region, accepted.version()));
  }

  /** Sets how long the process had run when this instance was created; precedes {@link #start}. */
  public void setProcessAgeMs(long ageMs) {
    steps.setProcessAgeMs(ageMs);
  }

  /** Starts the instance; it serves while the event loop runs. */
  public void start() throws IOException {
    Logger.info(
        "event=start instance={} failure_domain={}", settings.id(), settings.failureDomain());
    listen(settings.callersListen(), this::acceptSession);
    StatusEndpoints endpoints =
        new StatusEndpoints(platform.readinessPath(), this::isReady, metrics);
    listen(settings.readinessListen(), endpoints::serveReadiness);
    listen(settings.metricsListen(), endpoints::serveMetrics);
    listen(settings.peersListen(), peers::serve);
    steps.record(StartSteps.Step.LISTENING);
    peers.start(limits, new ForwardedStatementService(context), sync, relay);
    limits.start();
    sync.start();
    fleet.join();
    loop.every(TICK_MS, this::tick);
  }

  private boolean isLoaded() {
    return sync.loaded();
  }

  /**
   * Returns the time for which a proof allows keys and shares of rates to be used. It is shorter
   * than the lease of a member, so that no share is taken over while it may still be in use.
   */
  private static long usableKeyValidityMs(GatewaySettings settings) {
    long validityMs = Math.min(settings.keyValidityMs(), FleetMembership.LEASE_TTL_MS);
    return validityMs - KEY_VALIDITY_MARGIN_MS;
  }

  /** Replaces the settings. Identity and listen addresses have to be those of the start. */
  public void apply(GatewaySettings newer) {
    settings = newer;
    declarations.setKeyValidityMs(usableKeyValidityMs(settings));
    store.setAddress(settings.storeAddress());
    promotionClient.setAddress(settings.promotionAddress());
    fleet.setOwnEntry(settings.fleetEntry());
    confirmations.setPolicy(settings.acknowledgement().policy());
    evacuations.setGraceMs(settings.evacuationMs() / 2);
  }

  private void onTargetRemoved(TargetState target) {
    pools.onTargetRemoved(target);
    prober.onTargetRemoved(target);
    outcomes.onTargetRemoved(target);
    promotions.onTargetRemoved(target);
  }

  private void registerGauges() {
    metrics.registerGauge("store_era", "Newest era of the store that is known", era::current);
    metrics.registerGauge("targets", "Registered targets", () -> directory.entries().size());
    metrics.registerGauge(
        "cold_targets", "Targets that are slow after their start", () -> warmUps.coldCount());
    metrics.registerGauge(
        "passed_over_targets",
        "Targets that get no reads but probes because their statements fail",
        outcomes::passedOverCount);
    metrics.registerGauge("timers", "Pending timers of the event loop", loop::timerCount);
    metrics.registerGauge("sessions", "Open caller sessions", sessions::size);
    metrics.registerGauge("fleet_size", "Live instances, including this one", fleet::size);
    metrics.registerGauge(
        "declaration_version",
        "Version of the current declaration",
        () -> declarations.current().version());
    metrics.registerGauge(
        "declaration_proof_age_milliseconds",
        "Age of the last confirmation that the current declaration is the newest; -1 if none",
        declarations::proofAgeMs);
    metrics.registerGauge(
        "homes",
        "Pairs of a group and a region that this instance is the home of",
        homes::homeCount);
    metrics.registerGauge(
        "target_connections", "Open connections to targets", pools::connectionCount);
    metrics.registerGauge(
        "link_waiting_statements",
        "Statements that wait because too many are outstanding at their home",
        peers::waitingStatements);
    new SchedulingMetrics(loop, pools, steps).register(metrics);
    metrics.registerGauge(
        "ready", "1 if the instance accepts new sessions, else 0", () -> isReady() ? 1 : 0);
  }

  private ChannelHandler acceptSession(TcpChannel channel) {
    if (sessions.size() >= settings.maxSessions()) {
      return refusedConnections.refuse(channel, context);
    }
    CallerSession session = new CallerSession(context, channel, sessions::remove);
    if (refusesSessions()) {
      session.refuseOpening(STOPPING + "; retry in " + STOPPING_RETRY_MS + " ms");
    }
    sessions.add(session);
    return session;
  }

  /**
   * Returns whether sessions are refused: in the second half of a stop, so that none of their
   * statements is running at its end, and once all sessions have ended.
   */
  private boolean refusesSessions() {
    return stopped || stopping && isPastHalfOfStop(loop.nowNanos());
  }

  private boolean isPastHalfOfStop(long nowNanos) {
    return (nowNanos - stoppingNanos) / NANOS_PER_MS > stopGraceMs / 2;
  }

  /** Returns whether the load balancer may send new sessions to this instance. */
  public boolean isReady() {
    return !stopping && sync.loaded() && declarations.keysConfirmedCurrent() && limits.hasShare();
  }

  private void listen(String address, Function<TcpChannel, ChannelHandler> handlerFactory)
      throws IOException {
    listeners.add(new TcpListener(loop, address, handlerFactory));
  }

  private void tick() {
    if (halted) {
      return;
    }
    if (isReady()) {
      steps.record(StartSteps.Step.READY);
    }
    long nowNanos = loop.nowNanos();
    evacuations.tick();
    warmUps.tick();
    pools.tick(nowNanos);
    outcomes.tick();
    limits.tick();
    sync.tick();
    if (isLoaded()) {
      // Before, a group whose targets are not known yet would count as one that lost its primary.
      prober.tick(nowNanos);
    }
    if (!stopping) {
      promotions.tick(nowNanos, sync.settled());
    }
    for (CallerSession session : List.copyOf(sessions)) {
      session.tick(nowNanos);
    }
    if (stopping) {
      drainSessions(nowNanos);
    }
  }

  /**
   * Closes sessions as they become idle. In the second half of the grace period, also closes them
   * right after an answer; shortly before its end, closes all remaining sessions.
   */
  private void drainSessions(long nowNanos) {
    long stoppingMs = (nowNanos - stoppingNanos) / NANOS_PER_MS;
    if (stoppingMs < BALANCER_REMOVAL_MS) {
      return;
    }
    boolean pastHalf = isPastHalfOfStop(nowNanos);
    boolean nearEnd = stoppingMs > stopGraceMs - FORCED_CLOSE_BEFORE_END_MS;
    int closed = 0;
    for (CallerSession session : List.copyOf(sessions)) {
      if (pastHalf) {
        session.rollBackIdleTransaction();
        session.closeAfterAnswer();
      }
      if (nearEnd) {
        session.end(STOPPING);
      } else if (closed < MAX_CLOSES_PER_TICK
          && session.endIfIdle(nowNanos - IDLE_SESSION_NANOS, STOPPING)) {
        closed++;
      }
    }
    if (sessions.isEmpty() && !stopped) {
      stopped = true;
      Logger.info("event=stopped instance={} after_ms={}", settings.id(), stoppingMs);
      fleet.leave();
      loop.after(LEAVE_MS, onStopped);
    }
  }

  /** Returns whether this instance is the home of {@code group}. */
  public boolean isHome(String group) {
    return homes.isHome(group);
  }

  /** Returns whether this instance watches the store itself, rather than following a relay. */
  public boolean isWatchingStore() {
    return sync.isWatching();
  }

  /** Returns the version of the declaration in force. */
  public long declarationVersion() {
    return declarations.current().version();
  }

  /** Returns the number of connections to targets, open or opening. */
  public int targetConnections() {
    return pools.connectionCount();
  }

  /** Stops immediately and closes all connections, as a crash of the process would. */
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

  /**
   * Begins a graceful shutdown: drains sessions, leaves the fleet, and then runs {@code action}.
   */
  public void stop(Runnable action) {
    loop.post(() -> beginStop(action));
  }

  private void beginStop(Runnable action) {
    if (stopping) {
      return;
    }
    onStopped = action;
    stopping = true;
    Logger.info("event=stopping sessions={}", sessions.size());
    fleet.prepareToLeave();
    stoppingNanos = loop.nowNanos();
    // A change during the stop has no effect: the platform counts from the signal.
    stopGraceMs = settings.stopGraceMs();
  }
}
