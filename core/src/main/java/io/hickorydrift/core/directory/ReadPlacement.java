package io.hickorydrift.core.directory;

import io.hickorydrift.core.message.Position;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the target of a read that may run on a replica.
 *
 * <p>Thread safety: immutable.
 */
public final class ReadPlacement {
  // A replica not known to have the position may still have it by now.
  private static final double UNPROVEN_COST = 0.5;
  // Leaves the primary free for what only it can do.
  private static final double PRIMARY_COST = 2.0;
  private static final double OTHER_DOMAIN_COST = 0.5;
  private static final double AVOIDED_COST = 100;
  // Opening a connection takes about as long as a statement.
  private static final double OPENING_COST = 0.8;

  private final String ownDomain;

  /** Places reads from an instance in {@code ownDomain}. */
  public ReadPlacement(String ownDomain) {
    this.ownDomain = ownDomain;
  }

  /**
   * Returns the target with the least expected wait that is not in {@code tried}, or null if there
   * is none. The target itself checks {@code atLeast}; {@code connected} tells where a connection
   * waits to be used.
   */
  public TargetState choose(
      GroupState group,
      Position atLeast,
      Set<String> tried,
      Predicate<TargetState> connected,
      long nowNanos) {
    TargetState primary = group.primary();
    TargetState best = null;
    double bestCost = Double.MAX_VALUE;
    for (TargetState target : group.targets()) {
      if (target.entry().draining() || tried.contains(target.entry().id())) {
        continue;
      }
      double cost = cost(target, target == primary, atLeast, nowNanos);
      cost += connected.test(target) ? 0 : OPENING_COST;
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(TargetState target, boolean primary, Position atLeast, long nowNanos) {
    double cost = (double) target.outstanding() / Math.max(1, target.entry().slots());
    if (primary) {
      cost += PRIMARY_COST;
    } else if (!target.hasApplied(atLeast)) {
      cost += UNPROVEN_COST;
    }
    if (!target.entry().failureDomain().equals(ownDomain)) {
      cost += OTHER_DOMAIN_COST;
    }
    return target.isAvoided(nowNanos) ? cost + AVOIDED_COST : cost;
  }
}
