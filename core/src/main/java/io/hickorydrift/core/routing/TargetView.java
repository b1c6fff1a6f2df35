package io.hickorydrift.core.routing;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;

/**
 * What one instance knows of one target.
 *
 * <p>Invariants: applied and logged positions are the latest reported; {@code provenAtNanos} is the
 * send time of the latest exchange that the target answered in the group's current term.
 *
 * <p>Thread safety: confined to the thread of its {@link GroupView}.
 */
public final class TargetView {
  private static final long NEVER = Long.MIN_VALUE;

  private final String id;
  private boolean leaving;
  private Position applied = Positions.START;
  private Position logged = Positions.START;
  private long provenAtNanos = NEVER;
  private long reachedAtNanos = NEVER;
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

  /** Returns the last entry that reads see, as last reported. */
  public Position applied() {
    return applied;
  }

  /** Returns the last entry in the log, as last reported. */
  public Position logged() {
    return logged;
  }

  /** Returns the number of exchanges under way. */
  public int inFlight() {
    return inFlight;
  }

  /** Counts an exchange that starts. */
  public void recordExchangeStart() {
    inFlight++;
  }

  /** Counts an exchange that ended. */
  public void recordExchangeEnd() {
    inFlight--;
  }

  /** Keeps new reads away until {@code untilNanos}, after a failed exchange. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether reads should keep away at {@code nowNanos}. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos != NEVER && nowNanos - avoidUntilNanos < 0;
  }

  void recordPositions(Position newApplied, Position newLogged, long sentNanos) {
    reachedAtNanos = sentNanos;
    applied = newApplied == null ? Positions.START : newApplied;
    logged = newLogged == null ? Positions.START : newLogged;
  }

  void recordAnswerInTerm(long sentNanos) {
    if (provenAtNanos == NEVER || sentNanos - provenAtNanos > 0) {
      provenAtNanos = sentNanos;
    }
  }

  void clearAnswerInTerm() {
    provenAtNanos = NEVER;
  }

  /** Returns whether the target answered, in whatever term, within {@code withinNanos}. */
  public boolean answeredWithin(long withinNanos, long nowNanos) {
    return reachedAtNanos != NEVER && nowNanos - reachedAtNanos <= withinNanos;
  }

  /** Returns whether the target answered in the current term within {@code withinNanos}. */
  public boolean answeredInTermWithin(long withinNanos, long nowNanos) {
    return answeredInTerm() && nowNanos - provenAtNanos <= withinNanos;
  }

  boolean answeredInTerm() {
    return provenAtNanos != NEVER;
  }

  long answeredInTermAtNanos() {
    return provenAtNanos;
  }
}
