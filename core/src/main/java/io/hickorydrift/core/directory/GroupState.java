package io.hickorydrift.core.directory;

import io.hickorydrift.core.admission.RetryBudget;
import io.hickorydrift.core.answer.WriteRowEvidence;
import io.hickorydrift.core.freshness.ObservedPositions;
import io.hickorydrift.core.promotion.PrimaryRecoveryEstimator;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State of a database group at this instance: its targets, as last reported, and this instance's
 * observations of its primary.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class GroupState {
  private final String name;
  private final Map<String, TargetState> targets = new LinkedHashMap<>();
  private final ObservedPositions observedPositions = new ObservedPositions();
  private final LogHolders logHolders = new LogHolders(observedPositions);
  private final WriteRowEvidence writeRows = new WriteRowEvidence();
  private final RetryBudget retryBudget = new RetryBudget();
  private final PrimaryRecoveryEstimator recoveryEstimator = new PrimaryRecoveryEstimator();

  GroupState(String name) {
    this.name = name;
  }

  /** Returns the name of the group. */
  public String name() {
    return name;
  }

  /** Returns the registered targets of the group. */
  public Collection<TargetState> targets() {
    return targets.values();
  }

  Map<String, TargetState> targetsById() {
    return targets;
  }

  WriteRowEvidence writeRows() {
    return writeRows;
  }

  /** Returns the budget for attempts of a read beyond its first one, hedged or after a failure. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the estimator of the time until the group has a usable primary again. */
  public PrimaryRecoveryEstimator recoveryEstimator() {
    return recoveryEstimator;
  }

  /** Returns the targets beside the replicas that may hold acknowledged commits. */
  public LogHolders logHolders() {
    return logHolders;
  }

  /** Returns the observed positions of the primary. */
  public ObservedPositions observedPositions() {
    return observedPositions;
  }

  /**
   * Returns the primary according to the entries of the targets, or null. If several report
   * themselves as primary, returns the one that became primary last: the others have not yet
   * noticed its promotion. An entry whose address is known to be another process's is the last
   * choice.
   */
  public TargetState primary() {
    TargetState latest = null;
    for (TargetState target : targets.values()) {
      if (target.entry().primary() && (latest == null || isPreferred(target, latest))) {
        latest = target;
      }
    }
    return latest;
  }

  private static boolean isPreferred(TargetState target, TargetState other) {
    return target.isRuledOut() == other.isRuledOut()
        ? target.primarySince().isAfter(other.primarySince())
        : other.isRuledOut();
  }

  /** Returns whether the group has targets, and all of them are in evacuated failure domains. */
  public boolean isEvacuated() {
    return !targets.isEmpty() && targets.values().stream().allMatch(TargetState::isEvacuated);
  }

  /**
   * Returns the replicas that confirm commits: those outside evacuated failure domains, or all if
   * there are none. Without any, every write would end in doubt.
   */
  public List<TargetState> reportingReplicas() {
    List<TargetState> replicas = replicas();
    List<TargetState> left = new ArrayList<>(replicas);
    left.removeIf(TargetState::isEvacuated);
    return left.isEmpty() ? replicas : left;
  }

  /** Returns all targets except {@link #primary()}. */
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
