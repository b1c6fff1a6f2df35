package io.hickorydrift.core.directory;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Proximity;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the target of a read that may run on a replica, by estimated cost. The unit is the time
 * that a statement occupies a slot. Load pattern: reads in several regions, where a round trip to
 * another region takes longer than most queues; a read leaves its region only if no target there
 * would complete it sooner.
 *
 * <p>Thread safety: confined to the thread of the targets' states.
 */
public final class ReadPlacement {
  // A replica not known to have applied the position may have applied it by now.
  private static final double UNCONFIRMED_POSITION_COST = 0.5;
  // Keeps the primary free for the statements that only it can run.
  private static final double PRIMARY_COST = 2.0;
  private static final double CROSS_DOMAIN_COST = 0.5;
  // A cold target answers several times as slowly; others are preferred until half of their slots
  // more are busy. At 1, the bound of a lone cold replica stayed unused beside a loaded primary.
  private static final double COLD_COST = 0.5;
  private static final double AVOIDED_COST = 100;
  private static final double REGION_ROUND_TRIP_NANOS = 60_000_000;
  // Assumed until a target of the own region has answered.
  private static final double DEFAULT_SERVICE_NANOS = 10_000_000;
  // A longer queue than any target has, but less than the cost of a target that is to be avoided.
  private static final double MAX_OTHER_REGION_COST = 50;
  // Opening a connection takes about as long as a statement.
  private static final double CONNECT_COST = 0.8;
  // Keeps the reads of an organisation on one replica until that is clearly busier than the others:
  // spread over all of them, the organisations would need more connections than there are.
  private static final double OTHER_REPLICA_COST = 0.7;

  /** What the choice depends on of the connections for a read's organisation. */
  public interface Connections {
    /** Returns whether there is an idle connection to {@code target}. */
    boolean hasIdle(TargetState target);

    /**
     * Returns whether the read may probe {@code target}: it can be repeated elsewhere, and would
     * not have to wait there. Statements without an answer may hold all places.
     */
    default boolean mayProbe(TargetState target) {
      return hasIdle(target);
    }

    /** Returns whether a read would have to wait for other statements at {@code target}. */
    default boolean wouldWait(TargetState target) {
      return target.outstanding() >= target.entry().slots();
    }
  }

  private final String ownDomain;
  private final Regions regions;

  /** Creates a placement for an instance in the failure domain {@code ownDomain}. */
  public ReadPlacement(String ownDomain, Regions regions) {
    this.ownDomain = ownDomain;
    this.regions = regions;
  }

  /**
   * Returns the target with the lowest cost, that is, the least expected wait, or null if there is
   * none. Skips draining and ruled out targets, those in {@code tried}, and those that {@code
   * mayRun} rejects. A target whose statements fail gets fewer reads ({@link TargetHealth}), as
   * {@link OutlierEjection} last decided; while all others are loaded, it gets reads as soon as its
   * last statements succeeded. The target itself checks that it has applied {@code atLeast}.
   */
  public TargetState choose(
      GroupState group,
      String organisation,
      Position atLeast,
      Set<String> tried,
      Predicate<TargetState> mayRun,
      Connections connections,
      long nowNanos) {
    List<TargetState> able = new ArrayList<>();
    for (TargetState target : group.targets()) {
      boolean untried = !tried.contains(target.entry().id());
      if (untried && target.acceptsNewWork() && mayRun.test(target)) {
        able.add(target);
      }
    }
    List<TargetState> candidates = new ArrayList<>(able);
    candidates.removeIf(target -> target.health().isPassedOver());
    if (candidates.isEmpty()) {
      candidates = able;
    } else if (tried.isEmpty()) {
      // A read that has already failed at a target is not risked at a second one that may fail.
      TargetState probed = probe(able, connections, nowNanos);
      if (probed != null) {
        return probed;
      }
    }
    if (candidates.size() < able.size() && candidates.stream().allMatch(connections::wouldWait)) {
      addRelief(candidates, able);
    }
    TargetState primary = group.primary();
    TargetState preferred = preferredReplica(group, primary, organisation, mayRun);
    double otherRegionCost = otherRegionCost(group);
    ToDoubleFunction<TargetState> cost =
        target ->
            cost(target, target == primary, atLeast, otherRegionCost, nowNanos)
                + (connections.hasIdle(target) ? 0 : CONNECT_COST)
                + (target == preferred || target == primary ? 0 : OTHER_REPLICA_COST);
    TargetState best = cheapest(candidates, cost);
    if (candidates.size() > 1 && !best.health().takesNextRead(nowNanos)) {
      candidates.remove(best);
      return cheapest(candidates, cost);
    }
    return best;
  }

  /**
   * Adds the targets that are passed over but whose last statements succeeded, as quickly as at the
   * slowest of {@code candidates}. Load pattern: the other targets cannot run all reads, and a
   * target that goes down and up fills their queues while it is up and gets no reads.
   */
  private static void addRelief(List<TargetState> candidates, List<TargetState> able) {
    double slowestNanos = 0;
    for (TargetState target : candidates) {
      slowestNanos = Math.max(slowestNanos, target.health().averageAnswerNanos());
    }
    for (TargetState target : able) {
      TargetHealth health = target.health();
      if (health.isPassedOver()
          && health.mayRelieveOthers()
          && health.averageAnswerNanos() <= slowestNanos) {
        candidates.add(target);
      }
    }
  }

  private static TargetState probe(
      List<TargetState> targets, Connections connections, long nowNanos) {
    for (TargetState target : targets) {
      if (target.health().isPassedOver()
          && connections.mayProbe(target)
          && target.health().takesNextReadAsProbe(nowNanos)) {
        return target;
      }
    }
    return null;
  }

  private static TargetState cheapest(
      List<TargetState> targets, ToDoubleFunction<TargetState> costOf) {
    TargetState best = null;
    double bestCost = Double.MAX_VALUE;
    for (TargetState target : targets) {
      double cost = costOf.applyAsDouble(target);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Returns the replica that {@code organisation} is assigned to by rendezvous hashing, one of the
   * own region if there is any.
   */
  private TargetState preferredReplica(
      GroupState group, TargetState primary, String organisation, Predicate<TargetState> mayRun) {
    TargetState preferred = null;
    double highest = -1;
    for (TargetState target : group.targets()) {
      double hash = Rendezvous.unitHash(organisation, target.entry().id());
      hash += isInOtherRegion(target) ? 0 : 1;
      boolean usable = target != primary && target.acceptsNewWork() && mayRun.test(target);
      if (usable && !target.health().isPassedOver() && hash > highest) {
        preferred = target;
        highest = hash;
      }
    }
    return preferred;
  }

  private boolean isInOtherRegion(TargetState target) {
    String domain = target.entry().failureDomain();
    return Proximity.between(ownDomain, domain, regions) == Proximity.OTHER_REGION;
  }

  /** Returns the number of statements that a target runs in a slot during one round trip. */
  private double otherRegionCost(GroupState group) {
    double sumNanos = 0;
    int count = 0;
    for (TargetState target : group.targets()) {
      if (target.averageServiceNanos() > 0 && !isInOtherRegion(target)) {
        sumNanos += target.averageServiceNanos();
        count++;
      }
    }
    double serviceNanos = count == 0 ? DEFAULT_SERVICE_NANOS : sumNanos / count;
    return Math.min(MAX_OTHER_REGION_COST, REGION_ROUND_TRIP_NANOS / serviceNanos);
  }

  private double cost(
      TargetState target,
      boolean primary,
      Position atLeast,
      double otherRegionCost,
      long nowNanos) {
    double cost = (double) target.outstanding() / Math.max(1, target.entry().slots());
    if (primary) {
      cost += PRIMARY_COST;
    } else if (!target.hasApplied(atLeast)) {
      cost += UNCONFIRMED_POSITION_COST;
    }
    if (!target.entry().failureDomain().equals(ownDomain)) {
      cost += isInOtherRegion(target) ? otherRegionCost : CROSS_DOMAIN_COST;
    }
    if (target.isCold(nowNanos)) {
      cost += COLD_COST;
    }
    return target.isAvoided(nowNanos) ? cost + AVOIDED_COST : cost;
  }
}
