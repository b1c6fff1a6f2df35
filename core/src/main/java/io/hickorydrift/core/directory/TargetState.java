package io.hickorydrift.core.directory;

import io.hickorydrift.core.answer.WriteRowEvidence;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.store.StorePosition;

/**
 * State of a target at this instance: its entry and the log positions and load derived from its
 * answers.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class TargetState {
  private static final double SMOOTHING_FACTOR = 0.2;

  private final Evacuations evacuations;
  private final WriteRowEvidence writeRows;
  private TargetHealth health = new TargetHealth();
  private TargetEntry entry;
  private StorePosition position;
  private StorePosition primarySince;
  private Position applied;
  private Position received;
  private long avoidUntilNanos = Long.MIN_VALUE;
  private boolean ruledOut;
  private boolean repeatsAnswers;
  private boolean cold;
  private long coldUntilNanos;
  private TargetEntry coldEntry;
  private int outstanding;
  private double averageAnswerNanos;
  private double averageServiceNanos;

  TargetState(
      TargetEntry entry,
      StorePosition position,
      Evacuations evacuations,
      WriteRowEvidence writeRows) {
    this.evacuations = evacuations;
    this.writeRows = writeRows;
    this.entry = entry;
    this.position = position;
    primarySince = entry.primary() ? position : StorePosition.NONE;
  }

  void update(TargetEntry newer, StorePosition newPosition) {
    if (newer.primary() && !entry.primary()) {
      primarySince = newPosition;
    }
    position = newPosition;
    if (newer.startedAtMs() != entry.startedAtMs()) {
      applied = null;
      received = null;
    }
    ruledOut &= newer.differsOnlyInSequence(entry);
    entry = newer;
  }

  /** Returns the entry of the target. */
  public TargetEntry entry() {
    return entry;
  }

  /** Returns the position of the store at which the entry was last written. */
  StorePosition position() {
    return position;
  }

  /** Returns the position of the store at which the target last became primary. */
  StorePosition primarySince() {
    return primarySince;
  }

  /** Returns the applied position in the last answer that reported one, or null. */
  public Position applied() {
    return applied;
  }

  /** Records the applied position of an answer; null is ignored. */
  public void recordApplied(Position position) {
    if (position != null) {
      applied = position;
    }
  }

  /** Records the last position in the target's log, applied or not, as reported by the target. */
  public void recordReceived(Position position) {
    received = position;
  }

  /**
   * Returns whether the target is known to have received {@code commit}. A position of a later term
   * is no evidence: the primary of that term may have been promoted without the commit.
   */
  public boolean hasReceived(Position commit) {
    return sameTermReaches(received, commit) || sameTermReaches(applied, commit);
  }

  private static boolean sameTermReaches(Position held, Position wanted) {
    return held != null && held.term() == wanted.term() && held.index() >= wanted.index();
  }

  /** Returns whether the target is known to have applied {@code position}. */
  public boolean hasApplied(Position position) {
    return applied != null && Positions.reaches(applied, position);
  }

  /** Avoids this target for new work until {@code untilNanos} if there is another choice. */
  public void avoidUntil(long untilNanos) {
    avoidUntilNanos = untilNanos;
  }

  /** Returns whether new work should go to other targets now. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos != Long.MIN_VALUE && avoidUntilNanos - nowNanos > 0;
  }

  /**
   * Records that another process answers at the address of the entry, so that nothing is sent there
   * until the entry changes.
   */
  public void ruleOut() {
    ruledOut = true;
  }

  /** Returns whether the entry is known to be wrong. */
  public boolean isRuledOut() {
    return ruledOut;
  }

  /** Records that the target has sent an answer, or a part of one, again. */
  public void recordRepeatedAnswer() {
    repeatsAnswers = true;
  }

  /** Returns whether the target is known to repeat answers. */
  public boolean repeatsAnswers() {
    return repeatsAnswers;
  }

  /** Returns what the answers of the group's targets have shown about rows of writes. */
  public WriteRowEvidence writeRows() {
    return writeRows;
  }

  /** Returns whether the target is in an evacuated failure domain. */
  public boolean isEvacuated() {
    return evacuations.isEvacuated(entry.failureDomain());
  }

  /** Returns whether the target is shutting down or in an evacuated failure domain. */
  public boolean isLeaving() {
    return entry.draining() || isEvacuated();
  }

  /** Records that the target is slow after its start until {@code untilNanos}. */
  public void setColdUntil(long untilNanos) {
    cold = true;
    coldEntry = entry;
    coldUntilNanos = untilNanos;
  }

  /** Records that the target is not slow after its start. */
  public void setWarm() {
    cold = false;
    coldEntry = entry;
  }

  /** Returns whether the entry has changed since it was last decided until when it is cold. */
  public boolean isColdOutdated() {
    return coldEntry != entry;
  }

  /** Returns whether the target is slow after its start, and its group bounds requests then. */
  public boolean isCold(long nowNanos) {
    return cold && coldUntilNanos - nowNanos > 0;
  }

  /** Returns whether new work may be sent: the target is not leaving and its entry is not wrong. */
  public boolean acceptsNewWork() {
    return !isLeaving() && !ruledOut;
  }

  /** Returns the outcomes of the last statements, recorded only for some groups. */
  public TargetHealth health() {
    return health;
  }

  /** Forgets the outcomes of the last statements. */
  public void resetHealth() {
    health = new TargetHealth();
  }

  /** Records that a statement was sent. */
  public void recordSent() {
    outstanding++;
  }

  /** Records that a statement was answered or abandoned after {@code nanos}. */
  public void recordAnswered(long nanos) {
    double rounds = Math.max(1, (double) outstanding / Math.max(1, entry.slots()));
    double serviceNanos = nanos / rounds;
    double before = averageServiceNanos == 0 ? serviceNanos : averageServiceNanos;
    averageServiceNanos = before + SMOOTHING_FACTOR * (serviceNanos - before);
    outstanding--;
    averageAnswerNanos += SMOOTHING_FACTOR * (nanos - averageAnswerNanos);
  }

  /** Returns the number of statements of this instance that are in flight at the target. */
  public int outstanding() {
    return outstanding;
  }

  /**
   * Returns the exponentially weighted moving average of the response time without the time for
   * which this instance's other statements occupied the slots; 0 if there was no response yet.
   */
  public double averageServiceNanos() {
    return averageServiceNanos;
  }

  /** Returns the exponentially weighted moving average of the response time. */
  public double averageAnswerNanos() {
    return averageAnswerNanos;
  }
}
