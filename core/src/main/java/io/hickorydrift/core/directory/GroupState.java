package io.hickorydrift.core.directory;

import io.hickorydrift.core.admission.RetryBudget;
import io.hickorydrift.core.freshness.ObservedPositions;
import io.hickorydrift.core.promotion.PrimaryRecoveryEstimator;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A database group as this instance knows it.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class GroupState {
  private final String name;
  private final Map<String, TargetState> targets = new LinkedHashMap<>();
  private final ObservedPositions sightings = new ObservedPositions();
  private final RetryBudget repeats = new RetryBudget();
  private final PrimaryRecoveryEstimator outlook = new PrimaryRecoveryEstimator();

  GroupState(String name) {
    this.name = name;
  }

  /** Returns its name. */
  public String name() {
    return name;
  }

  /** Returns its targets. */
  public Collection<TargetState> targets() {
    return targets.values();
  }

  Map<String, TargetState> targetsById() {
    return targets;
  }

  /** Returns what may be asked of more than one target. */
  public RetryBudget retryBudget() {
    return repeats;
  }

  /** Returns when a primary is expected, while there is none. */
  public PrimaryRecoveryEstimator recoveryEstimator() {
    return outlook;
  }

  /** Returns the positions seen at its primary. */
  public ObservedPositions observedPositions() {
    return sightings;
  }

  /**
   * Returns the target that leads as far as is known, or null. Of several that believe to lead, the
   * one that began last does: the others have not heard of it.
   */
  public TargetState primary() {
    TargetState latest = null;
    for (TargetState target : targets.values()) {
      if (target.entry().primary()
          && (latest == null || target.primarySinceRevision() > latest.primarySinceRevision())) {
        latest = target;
      }
    }
    return latest;
  }

  /** Returns the targets that do not lead. */
  public List<TargetState> replicas() {
    TargetState primary = primary();
    List<TargetState> replicas = new ArrayList<>();
    for (TargetState target : targets.values()) {
      if (target != primary) {
        replicas.add(target);
      }
    }
    return replicas;
  }
}
