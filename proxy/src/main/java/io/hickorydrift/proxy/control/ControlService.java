package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Target;
import io.hickorydrift.core.membership.Membership;
import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.ConfigEntries;
import io.hickorydrift.core.message.ConfigRequest;
import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.DomainsAlive;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Heartbeat;
import io.hickorydrift.core.message.LeavingTargets;
import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.session.TokenMac;
import io.hickorydrift.proxy.home.HomeService;
import io.hickorydrift.proxy.home.ObserverPort;
import io.hickorydrift.proxy.peer.PeerListener;
import io.hickorydrift.proxy.peer.PeerNetwork;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.settings.InstanceSettings;
import io.hickorydrift.proxy.target.TargetConnector;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Runs membership, slots and settings on the control worker, and dispatches messages from peers to
 * the services of the instance.
 *
 * <p>Thread safety: public methods may be called from any thread; state is confined to the worker.
 */
public final class ControlService implements PeerListener, ObserverPort, AutoCloseable {
  private static final int QUEUE_CAPACITY = 16_384;
  private static final long TICK_INTERVAL_MS = 100;
  private static final long MACHINE_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_TOKEN_LENDERS = 12;

  private final InstanceSettings instance;
  private final String runId = UUID.randomUUID().toString();
  private final Worker worker;
  private final PlatformClient platform;
  private final PeerNetwork peers;
  private final MembershipService membership;
  private final ConfigService config;
  private final SlotService slots;
  private final TermReservations reservations;
  private final RateLimitService rateLimits;
  private final HomeService home;
  private final Router router;
  private Set<String> leavingTargets = Set.of();
  private boolean leaving;
  private boolean listRequestPending;
  private long lastListNanos = Long.MIN_VALUE;
  private volatile List<Heartbeat> livePeers = List.of();
  private volatile int slot = -1;

  /** Starts all services of an instance except its HTTP listeners. */
  public ControlService(
      InstanceSettings instance,
      PlatformClient platform,
      TargetConnector connector,
      Policy policy,
      TimerService timer)
      throws IOException {
    this.instance = instance;
    this.platform = platform;
    worker = new Worker("control-" + instance.id(), QUEUE_CAPACITY);
    TokenMac secret = new TokenMac(instance.fleetSecret().getBytes(StandardCharsets.UTF_8));
    peers = new PeerNetwork(instance.id(), address(instance.peersListen()), secret, this);
    rateLimits = new RateLimitService(instance.id(), policy.limits(), peers, timer);
    reservations = new TermReservations(platform, timer, runId);
    home = new HomeService(instance.id(), instance.failureDomain(), connector, policy, this, timer);
    router = new Router(instance.id(), instance.failureDomain(), home, peers, timer);
    slots =
        new SlotService(
            worker,
            platform,
            timer,
            runId,
            instance.failureDomain(),
            policy.slotLeases(),
            this::publishShare);
    membership =
        new MembershipService(
            instance.id(), instance.failureDomain(), instance.seeds(), peers, this::heartbeat);
    config =
        new ConfigService(
            worker,
            platform,
            peers,
            timer,
            policy.settingsPollIntervalMs(),
            membership::sendToDomain,
            this::settingsChanged);
    timer.subscribe(worker, TICK_INTERVAL_MS, this::tick);
    peers.start();
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns the service that keeps the settings. */
  public ConfigService config() {
    return config;
  }

  /** Returns the service that admits requests against rate limits. */
  public RateLimitService rateLimits() {
    return rateLimits;
  }

  /** Returns the router to the groups' homes. */
  public Router router() {
    return router;
  }

  /** Returns whether requests forwarded by peers are in flight or transactions are open here. */
  public boolean hasForwardedWork() {
    return router.hasForwardedRequests() || home.openTransactions() > 0;
  }

  /** Returns the links to peers. */
  public PeerNetwork peers() {
    return peers;
  }

  /** Returns the fleet-wide number of this instance's slot, -1 for none. */
  public int slot() {
    return slot;
  }

  /** Returns the status shown to operators. */
  public InstanceStatus status(boolean ready) {
    List<InstanceStatus.PeerStatus> peerStatuses = new ArrayList<>();
    for (Heartbeat peer : livePeers) {
      peerStatuses.add(
          new InstanceStatus.PeerStatus(
              peer.instance(),
              peer.failureDomain(),
              peer.configEntry(),
              (int) peer.slot(),
              peer.leaving()));
    }
    return new InstanceStatus(
        instance.id(),
        instance.failureDomain(),
        ready,
        config.settings().entry(),
        slot,
        slots.share().usableFraction(System.nanoTime()),
        TimeUnit.NANOSECONDS.toMillis(config.nanosSinceStoreResponse()),
        peerStatuses,
        home.status());
  }

  /** Announces to peers that this instance is stopping. */
  public void announceLeaving() {
    worker.submit(
        () -> {
          leaving = true;
          membership.scheduleHeartbeat();
        });
  }

  /** Releases the slot. */
  public CompletableFuture<Void> releaseSlot() {
    return slots.release();
  }

  @Override
  public void onMessage(String peer, Record message) {
    if (message instanceof ForwardRequest request) {
      router.onForwardRequest(peer, request);
    } else if (message instanceof ForwardAnswer answer) {
      router.onForwardAnswer(peer, answer, config.settings());
    } else if (message instanceof GrantRequest request) {
      rateLimits.onTokenRequest(peer, request);
    } else if (message instanceof GrantAnswer answer) {
      rateLimits.onGrantAnswer(peer, answer);
    } else if (message instanceof Heartbeat heartbeat) {
      worker.submit(() -> onHeartbeat(heartbeat));
      config.onPeerEntry(peer, heartbeat.configEntry());
    } else if (message instanceof Alive alive) {
      worker.submit(() -> membership.onAlive(peer, alive, System.nanoTime()));
      config.onPeerEntry(peer, alive.configEntry());
    } else if (message instanceof LeavingTargets leavingMessage) {
      worker.submit(() -> onLeavingTargets(leavingMessage));
    } else if (message instanceof DomainDigest digest) {
      worker.submit(() -> membership.onDigest(digest, System.nanoTime()));
    } else if (message instanceof DomainsAlive alive) {
      worker.submit(() -> membership.onDomainsAlive(alive, System.nanoTime()));
    } else if (message instanceof Suspicion suspicion) {
      home.onSuspicion(suspicion);
    } else if (message instanceof PrimaryNotice notice) {
      home.onPrimaryNotice(notice);
    } else if (message instanceof ConfigRequest request) {
      config.onEntriesRequest(peer, request);
    } else if (message instanceof ConfigEntries entries) {
      config.onEntries(entries);
    } else if (message instanceof ConfigSnapshot part) {
      config.onSnapshotPart(part);
    }
  }

  @Override
  public void onLinkClosed(String peer) {
    worker.submit(() -> membership.onLinkClosed(peer));
    router.onLinkClosed(peer, config.settings());
  }

  @Override
  public void sendSuspicion(List<String> observers, Suspicion suspicion) {
    for (String observer : observers) {
      peers.send(observer, suspicion);
    }
  }

  @Override
  public void publishPrimary(List<String> observers, PrimaryNotice notice) {
    observers.forEach(observer -> peers.send(observer, notice));
    reservations.publish(notice);
  }

  @Override
  public void reserveTerm(String group, long aboveTerm, LongConsumer reserved) {
    reservations.reserve(group, aboveTerm, reserved);
  }

  @Override
  public void close() {
    home.close();
    rateLimits.close();
    worker.close();
    peers.close();
  }

  private void settingsChanged(Settings settings) {
    rateLimits.setLimits(settings);
    slots.applySettings(settings);
    publishShare(settings);
  }

  private void onHeartbeat(Heartbeat heartbeat) {
    if (membership.onHeartbeat(heartbeat, System.nanoTime())) {
      livePeers = membership.livePeers();
      publishShare();
    }
  }

  private void tick(long nowNanos) {
    peers.closeUnresponsiveLinks(nowNanos);
    membership.tick(nowNanos);
    livePeers = membership.livePeers();
    slots.tick(nowNanos);
    if (membership.isRelay()
        && !listRequestPending
        && (lastListNanos == Long.MIN_VALUE
            || nowNanos - lastListNanos >= MACHINE_LIST_INTERVAL_NANOS)) {
      lastListNanos = nowNanos;
      requestMachineList();
    }
    config.setRelay(membership.isRelay());
    publishShare();
  }

  private Heartbeat heartbeat() {
    return Heartbeat.builder()
        .instance(instance.id())
        .run(runId)
        .failureDomain(instance.failureDomain())
        .peerAddress(peers.address())
        .slot(slots.slot(System.nanoTime()))
        .leaving(leaving)
        .configEntry(config.settings().entry())
        .build();
  }

  private void onLeavingTargets(LeavingTargets message) {
    // Relays read the platform's list themselves.
    if (!membership.isRelay()) {
      leavingTargets = Set.copyOf(message.targets());
    }
  }

  private void requestMachineList() {
    listRequestPending = true;
    platform
        .listMachines()
        .whenComplete(
            (machines, failure) ->
                worker.submit(
                    () -> {
                      listRequestPending = false;
                      if (failure == null) {
                        onMachineList(machines);
                      }
                    }));
  }

  private void onMachineList(List<ListedMachine> machines) {
    Set<String> targetIds = new HashSet<>();
    for (Target target : config.settings().targets()) {
      targetIds.add(target.id());
    }
    Set<String> newLeaving = new HashSet<>();
    List<ListedMachine> instances = new ArrayList<>();
    for (ListedMachine machine : machines) {
      if (targetIds.contains(machine.id())) {
        if (machine.leaving()) {
          newLeaving.add(machine.id());
        }
      } else if (!machine.id().equals(instance.id())) {
        instances.add(machine);
      }
    }
    leavingTargets = newLeaving;
    membership.sendToDomainIfChanged(
        new LeavingTargets(List.copyOf(newLeaving)), System.nanoTime());
    membership.setListedInstances(instances);
  }

  /**
   * Returns the peers to request tokens from: all of a small fleet, else a few by rendezvous
   * hashing.
   */
  private List<String> tokenLenders(List<String> live) {
    List<String> ranked = Rendezvous.rank(instance.id(), live);
    return ranked.subList(0, Math.min(MAX_TOKEN_LENDERS, ranked.size()));
  }

  private void publishShare() {
    publishShare(config.settings());
  }

  private void publishShare(Settings settings) {
    long nowNanos = System.nanoTime();
    slot = slots.slot(nowNanos);
    Map<Integer, String> holders = Membership.slotHolders(livePeers);
    List<String> live = new ArrayList<>();
    for (Heartbeat peer : livePeers) {
      live.add(peer.instance());
    }
    if (slot >= 0 && !leaving) {
      holders.put(slot, instance.id());
    }
    router.setSlotHolders(holders);
    rateLimits.setShare(slots.share(), tokenLenders(live));
    home.update(settings, slot, slots.share(), holders, leavingTargets);
  }
}
