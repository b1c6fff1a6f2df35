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
 * The control duty: membership, slots and settings, and the hub through which messages from peers
 * reach the other duties.
 *
 * <p>Thread safety: public methods may be called from any thread; state belongs to the duty.
 */
public final class ControlService implements PeerListener, ObserverPort, AutoCloseable {
  private static final int RING_SIZE = 16_384;
  private static final long TICK_MS = 100;
  private static final long LIST_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int LENDERS = 12;

  private final InstanceSettings instance;
  private final String run = UUID.randomUUID().toString();
  private final Worker duty;
  private final PlatformClient platform;
  private final PeerNetwork peers;
  private final MembershipService membership;
  private final ConfigService config;
  private final SlotService slots;
  private final TermReservations reservations;
  private final RateLimitService allowance;
  private final HomeService home;
  private final Router router;
  private Set<String> leavingTargets = Set.of();
  private boolean leaving;
  private boolean listing;
  private long listedNanos = Long.MIN_VALUE;
  private volatile List<Heartbeat> livePeers = List.of();
  private volatile int slot = -1;

  /** Starts all duties of an instance but its HTTP side. */
  public ControlService(
      InstanceSettings instance,
      PlatformClient platform,
      TargetConnector connector,
      Policy policy,
      TimerService timer)
      throws IOException {
    this.instance = instance;
    this.platform = platform;
    duty = new Worker("control-" + instance.id(), RING_SIZE);
    TokenMac secret = new TokenMac(instance.fleetSecret().getBytes(StandardCharsets.UTF_8));
    peers = new PeerNetwork(instance.id(), address(instance.peersListen()), secret, this);
    allowance = new RateLimitService(instance.id(), policy.limits(), peers, timer);
    reservations = new TermReservations(platform, timer, run);
    home = new HomeService(instance.id(), instance.failureDomain(), connector, policy, this, timer);
    router = new Router(instance.id(), instance.failureDomain(), home, peers, timer);
    slots =
        new SlotService(
            duty,
            platform,
            timer,
            run,
            instance.failureDomain(),
            policy.slotLeases(),
            this::publishShare);
    membership =
        new MembershipService(
            instance.id(), instance.failureDomain(), instance.seeds(), peers, this::heartbeat);
    config =
        new ConfigService(
            duty,
            platform,
            peers,
            timer,
            policy.settingsPollIntervalMs(),
            membership::sendToDomain,
            this::settingsChanged);
    timer.subscribe(duty, TICK_MS, this::tick);
    peers.start();
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns the settings part. */
  public ConfigService config() {
    return config;
  }

  /** Returns the allowance part. */
  public RateLimitService rateLimits() {
    return allowance;
  }

  /** Returns the routing part. */
  public Router router() {
    return router;
  }

  /** Returns whether other instances' requests or open transactions depend on this instance. */
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

  /** Returns what operators see. */
  public InstanceStatus status(boolean ready) {
    List<InstanceStatus.PeerStatus> known = new ArrayList<>();
    for (Heartbeat peer : livePeers) {
      known.add(
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
        known,
        home.status());
  }

  /** Tells peers that this instance is stopping. */
  public void announceLeaving() {
    duty.submit(
        () -> {
          leaving = true;
          membership.scheduleHeartbeat();
        });
  }

  /** Gives the slot back. */
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
      allowance.onTokenRequest(peer, request);
    } else if (message instanceof GrantAnswer answer) {
      allowance.onGrantAnswer(peer, answer);
    } else if (message instanceof Heartbeat heartbeat) {
      duty.submit(() -> membership.onHeartbeat(heartbeat, System.nanoTime()));
      config.onPeerEntry(peer, heartbeat.configEntry());
    } else if (message instanceof Alive alive) {
      duty.submit(() -> membership.onAlive(peer, alive, System.nanoTime()));
      config.onPeerEntry(peer, alive.configEntry());
    } else if (message instanceof LeavingTargets leavingNow) {
      duty.submit(() -> learnLeaving(leavingNow));
    } else if (message instanceof DomainDigest digest) {
      duty.submit(() -> membership.onDigest(digest, System.nanoTime()));
    } else if (message instanceof DomainsAlive alive) {
      duty.submit(() -> membership.onDomainsAlive(alive, System.nanoTime()));
    } else if (message instanceof Suspicion suspicion) {
      home.onSuspicion(suspicion);
    } else if (message instanceof PrimaryNotice notice) {
      home.onPrimaryNotice(notice);
    } else if (message instanceof ConfigRequest request) {
      config.onEntriesRequest(peer, request);
    } else if (message instanceof ConfigEntries entries) {
      config.received(entries);
    } else if (message instanceof ConfigSnapshot part) {
      config.received(part);
    }
  }

  @Override
  public void onLinkClosed(String peer) {
    duty.submit(() -> membership.onLinkClosed(peer));
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
    allowance.close();
    duty.close();
    peers.close();
  }

  private void settingsChanged(Settings settings) {
    allowance.setLimits(settings);
    slots.applySettings(settings);
    publishShare();
  }

  private void tick(long nowNanos) {
    peers.closeUnresponsiveLinks(nowNanos);
    membership.tick(nowNanos);
    livePeers = membership.livePeers();
    slots.tick(nowNanos);
    if (membership.isRelay()
        && !listing
        && (listedNanos == Long.MIN_VALUE || nowNanos - listedNanos >= LIST_NANOS)) {
      listedNanos = nowNanos;
      listMachines();
    }
    config.setRelay(membership.isRelay());
    publishShare();
  }

  private Heartbeat heartbeat() {
    return Heartbeat.builder()
        .instance(instance.id())
        .run(run)
        .failureDomain(instance.failureDomain())
        .peerAddress(peers.address())
        .slot(slots.slot(System.nanoTime()))
        .leaving(leaving)
        .configEntry(config.settings().entry())
        .build();
  }

  private void learnLeaving(LeavingTargets told) {
    // A relay reads the platform's list itself.
    if (!membership.isRelay()) {
      leavingTargets = Set.copyOf(told.targets());
    }
  }

  private void listMachines() {
    listing = true;
    platform
        .listMachines()
        .whenComplete(
            (machines, failure) ->
                duty.submit(
                    () -> {
                      listing = false;
                      if (failure == null) {
                        listed(machines);
                      }
                    }));
  }

  private void listed(List<ListedMachine> machines) {
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

  /** Returns the peers to ask for tokens: all of a small fleet, else a few chosen by hashing. */
  private List<String> lenders(List<String> live) {
    List<String> ranked = Rendezvous.rank(instance.id(), live);
    return ranked.subList(0, Math.min(LENDERS, ranked.size()));
  }

  private void publishShare() {
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
    allowance.setShare(slots.share(), lenders(live));
    home.update(config.settings(), slot, slots.share(), holders, leavingTargets);
  }
}
