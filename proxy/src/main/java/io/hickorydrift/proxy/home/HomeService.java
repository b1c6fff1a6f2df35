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
 * The home duty: serves the groups whose homes are on this instance's slot, and observes their
 * primaries together with the other homes.
 *
 * <p>Invariant: this instance uses connections to a target only up to its slot's part of the
 * target's limit, rechecked at each tick against the leases of the slot.
 *
 * <p>Thread safety: public methods may be called from any thread; state belongs to the duty.
 */
public final class HomeService implements AutoCloseable {
  private static final int RING_SIZE = 32_768;
  private static final long TICK_INTERVAL_MS = 5;
  private static final long RETRY_AFTER_MS = 100;
  private static final double MIN_WEIGHT = 0.05;

  private final Worker duty;
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

  /** Starts the duty. */
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
    duty = new Worker("home-" + instance, RING_SIZE);
    this.port = port;
    transactions = new TransactionTable(instance);
    timer.subscribe(duty, TICK_INTERVAL_MS, this::tick);
  }

  /** Serves a request; the answer may come on any thread. A full ring is a refusal. */
  public void serve(ForwardRequest request, Consumer<ForwardAnswer> reply) {
    long arrivedNanos = System.nanoTime();
    if (!duty.offer(() -> start(request, arrivedNanos, reply))) {
      reply.accept(Refusal.of(ResultCode.OVERLOADED, RETRY_AFTER_MS));
    }
  }

  /** Brings settings, slot and live holders of slots up to date. */
  public void update(
      Settings newSettings,
      int newSlot,
      SlotShare newShare,
      Map<Integer, String> liveSlotHolders,
      Set<String> newLeavingTargets) {
    duty.submit(
        () -> {
          final boolean placed =
              homes != null && homes.settings() == newSettings && slot == newSlot;
          slot = newSlot;
          share = newShare;
          slotHolders = Map.copyOf(liveSlotHolders);
          leavingTargets = Set.copyOf(newLeavingTargets);
          if (!placed) {
            homes = new HomeTable(newSettings);
            reconcile();
          }
        });
  }

  /** Hands over another observer's suspicion. */
  public void onSuspicion(Suspicion suspicion) {
    duty.submit(
        () -> {
          GroupObserver observer = observers.get(suspicion.group());
          if (observer != null) {
            observer.onSuspicion(suspicion);
          }
        });
  }

  /** Hands over the news of a promotion. */
  public void onPrimaryNotice(PrimaryNotice notice) {
    duty.submit(
        () -> {
          HomeGroup group = groups.get(notice.group());
          if (group != null) {
            group.view().recordTerm(notice.term(), notice.primary());
          }
        });
  }

  /** Returns how many transactions are open at this home. */
  public int openTransactions() {
    return transactions.size();
  }

  /** Returns what this home knows of its groups. */
  public Map<String, GroupStatus> status() {
    return status;
  }

  @Override
  public void close() {
    duty.close();
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
    Organisation found = settings.organisations().get(organisation);
    double rate = found == null ? 0 : found.limit().ratePerSecond();
    return Math.max(MIN_WEIGHT, Math.min(1, rate / settings.highestRatePerSecond()));
  }

  private void reconcile() {
    Map<String, Group> wanted = new HashMap<>();
    for (Group group : homes.settings().groups().values()) {
      if (slot >= 0 && homes.slotsOf(group).contains(slot)) {
        wanted.put(group.name(), group);
      }
    }
    for (String name : new ArrayList<>(groups.keySet())) {
      if (!groups.get(name).group().equals(wanted.get(name))) {
        groups.remove(name).close();
        observers.remove(name);
      }
    }
    for (Group group : wanted.values()) {
      HomeGroup home =
          groups.computeIfAbsent(
              group.name(), name -> new HomeGroup(group, connector, duty, policy, transactions));
      observers.computeIfAbsent(
          group.name(),
          name -> new GroupObserver(instance, failureDomain, home, policy.failover(), port, duty));
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
              observer.suspecting(),
              leaving));
    }
    status = current;
  }
}
