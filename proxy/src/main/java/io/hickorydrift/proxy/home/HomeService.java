package io.hickorydrift.proxy.home;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Group;
import io.hickorydrift.core.config.Settings.Organisation;
import io.hickorydrift.core.config.Settings.Target;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.flow.Refusal;
import io.hickorydrift.core.limit.SlotShare;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.placement.HomeSlots;
import io.hickorydrift.core.placement.HomeTable;
import io.hickorydrift.core.routing.TargetView;
import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.target.TargetConnector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Serves the groups whose homes are on this instance's slot, and monitors their primaries together
 * with the other homes.
 *
 * <p>Invariant: this instance uses connections to a target only up to its slot's share of the
 * target's limit, which is recomputed from the slot's leases at each tick.
 *
 * <p>Thread safety: public methods may be called from any thread; state is confined to the home
 * worker.
 */
public final class HomeService implements AutoCloseable {
  private static final int RING_SIZE = 32_768;
  private static final long TICK_INTERVAL_MS = 5;
  private static final long RETRY_AFTER_MS = 100;
  private static final double MIN_WEIGHT = 0.05;

  private final Worker worker;
  private final String instance;
  private final String failureDomain;
  private final TargetConnector connector;
  private final Policy policy;
  private final ObserverPort port;
  private final TransactionTable transactions;
  private final Map<String, HomeGroup> groups = new HashMap<>();
  private final Map<String, GroupObserver> observers = new HashMap<>();
  private volatile Map<String, GroupStatus> status = Map.of();
  private HomeTable homes;
  private int slot = -1;
  private SlotShare share = SlotShare.NONE;
  private Map<Integer, String> slotHolders = Map.of();
  private Set<String> leavingTargets = Set.of();

  /** Starts the worker. */
  public HomeService(
      String instance,
      String failureDomain,
      TargetConnector connector,
      Policy policy,
      ObserverPort port,
      TimerService timer) {
    this.instance = instance;
    this.failureDomain = failureDomain;
    this.connector = connector;
    this.policy = policy;
    worker = new Worker("home-" + instance, RING_SIZE);
    this.port = port;
    transactions = new TransactionTable(instance);
    timer.subscribe(worker, TICK_INTERVAL_MS, this::tick);
  }

  /**
   * Serves a request; {@code reply} may be called on any thread. The request is rejected as
   * OVERLOADED if the worker's ring has no room for new requests.
   */
  public void serve(ForwardRequest request, Consumer<ForwardAnswer> reply) {
    long arrivedNanos = System.nanoTime();
    if (!worker.offer(() -> start(request, arrivedNanos, reply))) {
      reply.accept(Refusal.of(ResultCode.OVERLOADED, RETRY_AFTER_MS));
    }
  }

  /** Updates the settings, slot, slot share, live slot holders and leaving targets. */
  public void update(
      Settings newSettings,
      int newSlot,
      SlotShare newShare,
      Map<Integer, String> liveSlotHolders,
      Set<String> newLeavingTargets) {
    worker.submit(
        () -> {
          final boolean unchanged =
              homes != null && homes.settings() == newSettings && slot == newSlot;
          slot = newSlot;
          share = newShare;
          slotHolders = Map.copyOf(liveSlotHolders);
          leavingTargets = Set.copyOf(newLeavingTargets);
          if (!unchanged) {
            homes = new HomeTable(newSettings);
            reconcile();
          }
        });
  }

  /** Processes another observer's suspicion of a primary. */
  public void onSuspicion(Suspicion suspicion) {
    worker.submit(
        () -> {
          GroupObserver observer = observers.get(suspicion.group());
          if (observer != null) {
            observer.onSuspicion(suspicion);
          }
        });
  }

  /** Processes the notice of a promotion. */
  public void onPrimaryNotice(PrimaryNotice notice) {
    worker.submit(
        () -> {
          HomeGroup group = groups.get(notice.group());
          if (group != null) {
            group.view().recordTerm(notice.term(), notice.primary());
          }
        });
  }

  /** Returns the number of transactions that are open at this home. */
  public int openTransactions() {
    return transactions.size();
  }

  /** Returns the status of each group of this home, by name, as of the last tick. */
  public Map<String, GroupStatus> status() {
    return status;
  }

  @Override
  public void close() {
    worker.close();
  }

  private void start(ForwardRequest request, long arrivedNanos, Consumer<ForwardAnswer> reply) {
    HomeGroup group = groups.get(request.group());
    if (group == null) {
      reply.accept(Refusal.of(ResultCode.NO_HOME, RETRY_AFTER_MS));
      return;
    }
    long deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(request.deadlineMs());
    group.serve(
        new HomeRequest(request, deadlineNanos, weight(request.organisation()), reply),
        System.nanoTime());
  }

  private double weight(String organisation) {
    Settings settings = homes.settings();
    Organisation organisationSettings = settings.organisations().get(organisation);
    double rate = organisationSettings == null ? 0 : organisationSettings.limit().ratePerSecond();
    return Math.max(MIN_WEIGHT, Math.min(1, rate / settings.highestRatePerSecond()));
  }

  private void reconcile() {
    Map<String, Group> required = new HashMap<>();
    for (Group group : homes.settings().groups().values()) {
      if (slot >= 0 && homes.slotsOf(group).contains(slot)) {
        required.put(group.name(), group);
      }
    }
    for (String name : new ArrayList<>(groups.keySet())) {
      if (!groups.get(name).group().equals(required.get(name))) {
        groups.remove(name).close();
        observers.remove(name);
      }
    }
    for (Group group : required.values()) {
      HomeGroup home =
          groups.computeIfAbsent(
              group.name(), name -> new HomeGroup(group, connector, worker, policy, transactions));
      observers.computeIfAbsent(
          group.name(),
          name ->
              new GroupObserver(instance, failureDomain, home, policy.failover(), port, worker));
    }
    applyLimits(System.nanoTime());
  }

  private void applyLimits(long nowNanos) {
    for (HomeGroup home : groups.values()) {
      List<Integer> homeSlots = homes.slotsOf(home.group());
      double usable = share.usableFraction(nowNanos) * homes.settings().slotCount();
      for (Target target : home.group().targets()) {
        int connections = HomeSlots.connectionsPerHome(target, homeSlots.size(), usable);
        home.setConnections(target.id(), connections);
        home.view().target(target.id()).setLeaving(leavingTargets.contains(target.id()));
      }
      List<String> live = new ArrayList<>();
      for (int homeSlot : homeSlots) {
        String holder = homeSlot == slot ? instance : slotHolders.get(homeSlot);
        if (holder != null) {
          live.add(holder);
        }
      }
      observers.get(home.group().name()).setObservers(live);
    }
  }

  private void tick(long nowNanos) {
    if (homes == null) {
      return;
    }
    applyLimits(nowNanos);
    Map<String, GroupStatus> current = new HashMap<>();
    for (HomeGroup home : groups.values()) {
      home.tick(nowNanos);
      GroupObserver observer = observers.get(home.group().name());
      observer.tick(nowNanos);
      List<String> leaving = new ArrayList<>();
      for (TargetView target : home.view().targets()) {
        if (target.leaving()) {
          leaving.add(target.id());
        }
      }
      current.put(
          home.group().name(),
          new GroupStatus(
              home.view().term(),
              home.view().primary(),
              home.openConnections(),
              observer.suspectsPrimary(),
              leaving));
    }
    status = current;
  }
}
