package io.hickorydrift.core.routing;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one instance knows of one database group, learned from its targets' answers.
 *
 * <p>Invariants: the term never falls; the primary is that of the term or null; the confirmed index
 * counts entries of the current term that a majority of all targets has logged.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class GroupView {
  private final String group;
  private final Map<String, TargetView> targets = new LinkedHashMap<>();
  private final FreshnessTracker freshness = new FreshnessTracker();
  private long term;
  private String primary;
  private long confirmedIndex;

  /** Starts with no knowledge of the targets {@code targetIds}. */
  public GroupView(String group, Collection<String> targetIds) {
    this.group = group;
    for (String id : targetIds) {
      targets.put(id, new TargetView(id));
    }
  }

  /** Returns the group's name. */
  public String group() {
    return group;
  }

  /** Returns the highest term heard of. */
  public long term() {
    return term;
  }

  /** Returns the primary of the current term, or null while none is known. */
  public String primary() {
    return primary;
  }

  /** Returns the targets in the order of their declaration. */
  public Collection<TargetView> targets() {
    return targets.values();
  }

  /** Returns the target with {@code id}, or null. */
  public TargetView target(String id) {
    return targets.get(id);
  }

  /** Returns how many targets make a majority. */
  public int majority() {
    return targets.size() / 2 + 1;
  }

  /** Learns that {@code newTerm} exists, with {@code newPrimary} if that is known. */
  public void recordTerm(long newTerm, String newPrimary) {
    if (newTerm < term) {
      return;
    }
    if (newTerm > term) {
      term = newTerm;
      primary = null;
      confirmedIndex = 0;
      freshness.reset();
      targets.values().forEach(TargetView::clearAnswerInTerm);
    }
    if (primary == null && targets.containsKey(newPrimary)) {
      primary = newPrimary;
    }
  }

  /** Takes in what {@code targetId} answered to an exchange sent at {@code sentNanos}. */
  public void recordAnswer(String targetId, TargetAnswer answer, long sentNanos) {
    TargetView target = targets.get(targetId);
    if (target == null || answer.applied() == null) {
      return;
    }
    recordTerm(answer.term(), answer.primary());
    target.recordPositions(answer.applied(), answer.logged(), sentNanos);
    if (answer.term() != term) {
      return;
    }
    target.recordAnswerInTerm(sentNanos);
    if (targetId.equals(primary) && answer.logged().term() == term) {
      freshness.recordPrimaryPosition(sentNanos, answer.logged());
    }
    confirmedIndex = Math.max(confirmedIndex, majorityIndex());
  }

  /** Returns whether a majority has logged {@code position} in the current term. */
  public boolean isConfirmed(Position position) {
    return position.term() == term && position.index() <= confirmedIndex;
  }

  /** Returns a proven bound in nanoseconds of the age of data at {@code applied}, or -1. */
  public long ageBoundNanos(Position applied, long nowNanos) {
    List<Long> proofs = new ArrayList<>();
    for (TargetView target : targets.values()) {
      if (target.answeredInTerm()) {
        proofs.add(target.answeredInTermAtNanos() - nowNanos);
      }
    }
    if (proofs.size() < majority()) {
      return FreshnessTracker.UNPROVEN;
    }
    proofs.sort(Collections.reverseOrder());
    long provenUntilNanos = proofs.get(majority() - 1) + nowNanos;
    return freshness.ageBoundNanos(applied, provenUntilNanos, nowNanos);
  }

  private long majorityIndex() {
    List<Long> indexes = new ArrayList<>();
    for (TargetView target : targets.values()) {
      indexes.add(target.logged().term() == term ? target.logged().index() : 0L);
    }
    indexes.sort(Collections.reverseOrder());
    return indexes.get(majority() - 1);
  }
}
