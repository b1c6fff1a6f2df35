package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.promotion.PrimaryFailureDetector;
import io.hickorydrift.core.promotion.PrimaryReport;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.PromotionOrders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Watches all groups and changes a primary that has to be replaced. For each group one instance at
 * a time does so, under a lease in the store; the revision of the lease's item is the fence.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PromotionDuty {
  // Three looks at the primary, each on a connection of its own, have failed by then.
  private static final long DEAD_AFTER_MS = 1_000;
  private static final long AGREE_AFTER_MS = 500;
  // A new target set is complete by then, and a primary that restarts has announced itself.
  private static final long ABSENT_AFTER_NANOS = 600_000_000L;
  // Gives the instance before in rank the time to claim and order.
  private static final long RANK_NANOS = 400_000_000L;

  // A holder that dies leaves the duty to its lease, which takes far longer to end than this.
  private static final long CLAIM_AGAIN_NANOS = 500_000_000L;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final PromotionOrders orders;
  private final Directory directory;
  private final Declarations declarations;
  private final Pools pools;
  private final PrimaryWatch watch;
  private final Peers peers;
  private final Homes homes;
  private final String self;
  private final PrimaryFailureDetector judge =
      new PrimaryFailureDetector(DEAD_AFTER_MS, AGREE_AFTER_MS);
  private final Map<String, Long> neededSinceNanos = new HashMap<>();
  private final Map<String, Long> claimAgainNanos = new HashMap<>();
  private final Map<String, PromotionRun> runs = new HashMap<>();

  PromotionDuty(
      EventLoop loop,
      KeyValueStore store,
      PromotionOrders orders,
      Directory directory,
      Declarations declarations,
      Pools pools,
      PrimaryWatch watch,
      Peers peers,
      Homes homes,
      String self) {
    this.loop = loop;
    this.store = store;
    this.orders = orders;
    this.directory = directory;
    this.declarations = declarations;
    this.pools = pools;
    this.watch = watch;
    this.peers = peers;
    this.homes = homes;
    this.self = self;
    loop.clock().onLostTime(this::abandonAll);
  }

  private void abandonAll() {
    runs.values().forEach(run -> run.end("time was lost"));
    runs.clear();
    neededSinceNanos.clear();
  }

  void tick(long nowNanos, boolean storeSettled) {
    for (GroupState group : directory.groups()) {
      boolean declared = declarations.current().groups().containsKey(group.name());
      if (!declared || !homes.serves(group.name())) {
        continue;
      }
      PromotionRun run = runs.get(group.name());
      if (run != null && run.ended()) {
        runs.remove(group.name());
        if (run.held()) {
          claimAgainNanos.put(group.name(), nowNanos + CLAIM_AGAIN_NANOS);
        }
      }
      PrimaryVerdict verdict = judge(group);
      if (verdict == PrimaryVerdict.ABSENT && !storeSettled) {
        verdict = PrimaryVerdict.KEEP;
      }
      if (verdict == PrimaryVerdict.KEEP) {
        neededSinceNanos.remove(group.name());
      } else if (run == null) {
        needed(group, verdict, nowNanos);
      }
    }
  }

  private PrimaryVerdict judge(GroupState group) {
    List<String> observers = homes.observers(group.name());
    Map<String, PrimaryReport> byPeer = peers.primaryReports(group.name());
    byPeer.keySet().retainAll(observers);
    List<PrimaryReport> reports = List.copyOf(byPeer.values());
    return judge.evaluate(group, watch.unreachableMs(group.primary()), reports, observers.size());
  }

  private void needed(GroupState group, PrimaryVerdict verdict, long nowNanos) {
    long sinceNanos = neededSinceNanos.computeIfAbsent(group.name(), key -> nowNanos);
    long waitNanos = rank(group.name()) * RANK_NANOS;
    if (verdict == PrimaryVerdict.ABSENT) {
      waitNanos += ABSENT_AFTER_NANOS;
    }
    Long againNanos = claimAgainNanos.get(group.name());
    boolean held = againNanos != null && nowNanos - againNanos < 0;
    if (held || nowNanos - sinceNanos < waitNanos) {
      return;
    }
    Logger.info(
        "event=promotion_needed group={} verdict={} primary={} unreachable_ms={}",
        group.name(),
        verdict,
        group.primary() == null ? "none" : group.primary().entry().id(),
        watch.unreachableMs(group.primary()));
    PromotionRun run =
        new PromotionRun(loop, store, orders, pools, declarations, self, group, verdict);
    runs.put(group.name(), run);
    run.start();
  }

  private int rank(String group) {
    List<String> live = new ArrayList<>(List.of(self));
    List<String> observers = homes.observers(group);
    for (PeerLink link : peers.up()) {
      if (observers.contains(link.peer())) {
        live.add(link.peer());
      }
    }
    return Rendezvous.rank(group, live).indexOf(self);
  }
}
