package io.hickorydrift.core.directory;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;

/**
 * A target as this instance knows it: its own entry and what its answers showed.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class TargetState {
  private static final double SMOOTHING = 0.2;

  private TargetEntry entry;
  private long primarySinceRevision;
  private Position applied;
  private Position received;
  private long avoidUntilNanos = Long.MIN_VALUE;
  private int outstanding;
  private double answerNanos;

  TargetState(TargetEntry entry, long revision) {
    this.entry = entry;
    primarySinceRevision = entry.primary() ? revision : 0;
  }

  void update(TargetEntry newer, long revision) {
    if (newer.primary() && !entry.primary()) {
      primarySinceRevision = revision;
    }
    if (newer.startedAtMs() != entry.startedAtMs()) {
      applied = null;
      received = null;
    }
    entry = newer;
  }

  /** Returns what the target says of itself. */
  public TargetEntry entry() {
    return entry;
  }

  /** Returns the store's revision at which it last became primary. */
  long primarySinceRevision() {
    return primarySinceRevision;
  }

  /** Returns the last position that its answers showed, or null. */
  public Position applied() {
    return applied;
  }

  /** An answer showed {@code position}. */
  public void recordApplied(Position position) {
    if (position != null) {
      applied = position;
    }
  }

  /** It reported that its log ends at {@code position}, applied or not. */
  public void recordReceived(Position position) {
    received = position;
  }

  /**
   * Returns whether it is known to have received {@code commit}. A log of a later term tells
   * nothing: its primary may have been promoted without the commit.
   */
  public boolean hasReceived(Position commit) {
    return sameTermReaches(received, commit) || sameTermReaches(applied, commit);
  }

  private static boolean sameTermReaches(Position held, Position wanted) {
    return held != null && held.term() == wanted.term() && held.index() >= wanted.index();
  }

  /** Returns whether it is known to hold {@code position}. */
  public boolean hasApplied(Position position) {
    return applied != null && Positions.reaches(applied, position);
  }

  /** Keeps new work away until {@code untilNanos}, where there is another choice. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether work should go elsewhere now. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos != Long.MIN_VALUE && avoidUntilNanos - nowNanos > 0;
  }

  /** A statement was sent. */
  public void recordSent() {
    outstanding++;
  }

  /** A statement was answered after {@code nanos}, or was given up. */
  public void recordAnswered(long nanos) {
    outstanding--;
    answerNanos += SMOOTHING * (nanos - answerNanos);
  }

  /** Returns how many statements of this instance are under way. */
  public int outstanding() {
    return outstanding;
  }

  /** Returns the usual time of an answer. */
  public double averageAnswerNanos() {
    return answerNanos;
  }
}
