package io.hickorydrift.core.routing;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;

/**
 * One instance's view of a target.
 *
 * <p>Invariants: the applied and logged positions are those reported last; {@code
 * answeredInTermAtNanos} is the send time of the latest exchange that the target answered in the
 * group's current term.
 *
 * <p>Thread safety: confined to the thread of its {@link GroupView}.
 */
public final class TargetView {
  private static final long NEVER = Long.MIN_VALUE;

  private final String id;
  private boolean leaving;
  private Position applied = Positions.START;
  private Position logged = Positions.START;
  private long answeredInTermAtNanos = NEVER;
  private long answeredAtNanos = NEVER;
  private long avoidUntilNanos = NEVER;
  private int inFlight;

  TargetView(String id) {
    this.id = id;
  }

  /** Returns the target's id. */
  public String id() {
    return id;
  }

  /** Returns whether the platform lists the target as leaving. */
  public boolean leaving() {
    return leaving;
  }

  /** Sets whether the target is leaving. */
  public void setLeaving(boolean leaving) {
    this.leaving = leaving;
  }

  /** Returns the position of the last entry visible to reads, as last reported. */
  public Position applied() {
    return applied;
  }

  /** Returns the position of the last entry in the log, as last reported. */
  public Position logged() {
    return logged;
  }

  /** Returns the number of exchanges in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Records the start of an exchange. */
  public void recordExchangeStart() {
    inFlight++;
  }

  /** Records the end of an exchange. */
  public void recordExchangeEnd() {
    inFlight--;
  }

  /** Excludes the target from new reads until {@code untilNanos}, after a failed exchange. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether reads should avoid the target at {@code nowNanos}. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos != NEVER && nowNanos - avoidUntilNanos < 0;
  }

  void recordPositions(Position newApplied, Position newLogged, long sentNanos) {
    answeredAtNanos = sentNanos;
    applied = newApplied == null ? Positions.START : newApplied;
    logged = newLogged == null ? Positions.START : newLogged;
  }

  void recordAnswerInTerm(long sentNanos) {
    if (answeredInTermAtNanos == NEVER || sentNanos - answeredInTermAtNanos > 0) {
      answeredInTermAtNanos = sentNanos;
    }
  }

  void clearAnswerInTerm() {
    answeredInTermAtNanos = NEVER;
  }

  /**
   * Returns whether the target answered, in any term, an exchange sent at most {@code withinNanos}
   * ago.
   */
  public boolean answeredWithin(long withinNanos, long nowNanos) {
    return answeredAtNanos != NEVER && nowNanos - answeredAtNanos <= withinNanos;
  }

  /**
   * Returns whether the target answered, in the current term, an exchange sent at most {@code
   * withinNanos} ago.
   */
  public boolean answeredInTermWithin(long withinNanos, long nowNanos) {
    return answeredInTerm() && nowNanos - answeredInTermAtNanos <= withinNanos;
  }

  boolean answeredInTerm() {
    return answeredInTermAtNanos != NEVER;
  }

  long answeredInTermAtNanos() {
    return answeredInTermAtNanos;
  }
}
