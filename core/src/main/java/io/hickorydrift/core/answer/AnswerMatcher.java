package io.hickorydrift.core.answer;

import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Attributes the messages of one target connection to its commands. Targets answer commands in
 * order and name none of them; they may send an answer, or a part of one, again at any later time.
 * An answer belongs to the oldest command if it cannot be a repeat: by a signature that is new on
 * the connection, or else because nothing equal was sent before. What is proved to be a repeat is
 * to be ignored, and after anything else the connection is to be closed.
 *
 * <p>The proxy's own commands have no signature. Most of them cannot be refused, so that a repeat
 * of an equal success says nothing wrong; for those that can be, it is accepted only from targets
 * that are not known to repeat answers.
 *
 * <p>Invariant: a success of a caller's statement is reported only for a new signature, and the
 * signature proves that all earlier commands were answered. Load: called for each message of a
 * target; constant time, but for the hashing of texts. Thread safety: confined to one thread.
 */
public final class AnswerMatcher {
  /** What follows from a message. */
  public enum Verdict {
    /** The answer goes on. */
    INCOMPLETE,
    /** The oldest command is answered. */
    ANSWERED,
    /** The message, or the answer that ends with it, repeats an earlier one. */
    REPEATED,
    /** It is not known to which command the message belongs. */
    UNPROVED
  }

  private final BooleanSupplier repeatsKnown;
  private final WriteRowEvidence writeRows;
  private final AnswerHistory history = new AnswerHistory();
  private final List<String> rows = new ArrayList<>(1);
  private int repeatedRows;
  private TargetMessage outcome;
  private TargetMessage.Ready end;
  private SessionState state = SessionState.IDLE;
  // Answers to the proxy's own commands that may have been repeats: the commands' own answers may
  // still come.
  private int unsettledCount;
  // Those of commands that may be refused.
  private int unsettledRefusableCount;
  private boolean mayBeRepeat;
  private boolean outOfStep;
  private boolean emptyReadSeen;
  private String finding = "";

  /**
   * Creates a matcher for a new connection.
   *
   * @param repeatsKnown whether the target is known to repeat answers
   * @param writeRows what is known of rows of writes in the target's group
   */
  public AnswerMatcher(BooleanSupplier repeatsKnown, WriteRowEvidence writeRows) {
    this.repeatsKnown = repeatsKnown;
    this.writeRows = writeRows;
  }

  /** Records the message that opened the connection. */
  public void opened(TargetMessage.Ready opening) {
    state = opening.state();
    history.addOpening(opening);
  }

  /** Returns the state of the session after the last answer. */
  public SessionState state() {
    return state;
  }

  /**
   * Returns whether the own answer to a command that was reported as failed may still come, so that
   * nothing else may be sent on the connection.
   */
  public boolean isOutOfStep() {
    return outOfStep;
  }

  /** Records that a later command was answered, so that no earlier answer is still to come. */
  public void backInStep() {
    outOfStep = false;
  }

  /** Returns the number of answers received. */
  public int answerCount() {
    return history.answerCount();
  }

  /** Returns the rows of the answer, after {@link Verdict#ANSWERED}. */
  public List<String> rows() {
    return List.copyOf(rows);
  }

  /** Returns the outcome of the answer, after {@link Verdict#ANSWERED}. */
  public TargetMessage outcome() {
    return outcome;
  }

  /** Returns the end of the answer, after {@link Verdict#ANSWERED}. */
  public TargetMessage.Ready end() {
    return end;
  }

  /** Returns whether the answer equals an earlier one, after {@link Verdict#ANSWERED}. */
  public boolean mayBeRepeat() {
    return mayBeRepeat;
  }

  /** Returns whether a failure of the next statement might not be told from an earlier one. */
  public boolean mayMistakeFailure() {
    return repeatsKnown.getAsBoolean() ? history.hasFailures() : history.hasFailedAtHighest();
  }

  /**
   * Returns whether rows of the next write might not be told from earlier ones: writes of the group
   * may have rows, and rows were received on the connection.
   */
  public boolean mayMistakeRowsOfWrite() {
    return history.hasRows() && writeRows.rowsSeen();
  }

  /** Returns what the last verdict rests on. */
  public String finding() {
    return finding;
  }

  /**
   * Takes the next message.
   *
   * @param expected the answer that the oldest command awaits, or null if no command was sent that
   *     has not been answered
   */
  public Verdict take(TargetMessage message, ExpectedAnswer expected) {
    if (end != null) {
      startAnswer();
    }
    if (message instanceof TargetMessage.Row row) {
      return takeRow(row, expected);
    }
    if (message instanceof TargetMessage.Ready ready) {
      return takeEnd(ready, expected);
    }
    if (message instanceof TargetMessage.Unreadable unreadable) {
      return conclude(Verdict.UNPROVED, unreadable.reason());
    }
    if (outcome != null) {
      return conclude(Verdict.UNPROVED, "two outcomes in one answer");
    }
    if (expected == null
        && message instanceof TargetMessage.Failure failure
        && history.hasFailure(failure)) {
      // Kept, it would end with the next command's end, or with a repeated one.
      return conclude(Verdict.REPEATED, "an earlier failure, where none is due");
    }
    outcome = message;
    return Verdict.INCOMPLETE;
  }

  private void startAnswer() {
    rows.clear();
    repeatedRows = 0;
    outcome = null;
    end = null;
    mayBeRepeat = false;
  }

  private Verdict conclude(Verdict verdict, String reason) {
    finding = reason;
    return verdict;
  }

  private Verdict takeRow(TargetMessage.Row row, ExpectedAnswer expected) {
    boolean repeated = history.hasRow(row.text());
    if (expected == null || !expected.mayHaveRows()) {
      writeRows.recordRepeat();
      return repeated
          ? conclude(Verdict.REPEATED, "an earlier row, where none is due")
          : conclude(Verdict.UNPROVED, "a row where none is due");
    }
    if (outcome != null) {
      return conclude(Verdict.UNPROVED, "a row after the outcome");
    }
    if (mayHaveBrokenOff(row)) {
      return conclude(Verdict.UNPROVED, "a row in which another message may begin");
    }
    rows.add(row.text());
    repeatedRows += repeated ? 1 : 0;
    return Verdict.INCOMPLETE;
  }

  /**
   * An answer that breaks off inside a row is repeated from its first row. From a target that
   * repeats answers, the part before it may also be of an earlier answer.
   */
  private boolean mayHaveBrokenOff(TargetMessage.Row row) {
    return row.mayHoldMessage()
        && (repeatsKnown.getAsBoolean()
            || (rows.isEmpty() ? row.repeatsBrokenOff() : row.endsWithRow(rows.get(0))));
  }

  private Verdict takeEnd(TargetMessage.Ready ready, ExpectedAnswer expected) {
    if (outcome == null) {
      return rows.isEmpty() && history.hasEnd(ready)
          ? conclude(Verdict.REPEATED, "an earlier end, without an outcome")
          : conclude(Verdict.UNPROVED, "an end without an outcome");
    }
    if (outcome instanceof TargetMessage.Failure failure) {
      return takeFailure(failure, ready, expected);
    }
    TargetMessage.Complete complete = (TargetMessage.Complete) outcome;
    return complete.signed()
        ? takeSigned(complete.signature(), ready, expected)
        : takeUnsigned(ready, expected);
  }

  private Verdict takeSigned(String signature, TargetMessage.Ready ready, ExpectedAnswer expected) {
    if (history.hasSignature(signature)) {
      writeRows.recordRepeat();
      return dropAnswer("an earlier signature");
    }
    if (expected == null || !expected.isSigned()) {
      return conclude(Verdict.UNPROVED, "a new signature where none is due");
    }
    if (ready.state() != expected.stateAfter(state) || isEarlierEnd(ready, expected)) {
      // The statement is answered, but its own end is still to come.
      return history.hasEnd(ready)
          ? conclude(Verdict.REPEATED, "an earlier end, after a new signature")
          : conclude(Verdict.UNPROVED, "another state than the statement leads to");
    }
    boolean read = expected == ExpectedAnswer.READ;
    if (read ? !areRowsOfRead() : !areRowsOfWrite()) {
      return conclude(Verdict.UNPROVED, "rows that may repeat earlier ones");
    }
    emptyReadSeen |= read && rows.isEmpty();
    history.addSigned(signature, rows, ready);
    unsettledRefusableCount = 0;
    unsettledCount = 0;
    return accept(ready);
  }

  /** Returns whether all rows are those of the read itself; others are a sign of repeats. */
  private boolean areRowsOfRead() {
    boolean own = !beginsAgain() && !mayBeginWithEarlierRow();
    if (!own) {
      writeRows.recordRepeat();
    }
    return own;
  }

  /** Returns whether all rows are those of the write or commit itself. */
  private boolean areRowsOfWrite() {
    if (rows.isEmpty()) {
      return true;
    }
    writeRows.recordRows();
    boolean allNew = repeatedRows == 0 && new HashSet<>(rows).size() == rows.size();
    return allNew || writeRows.acceptsEqualRows();
  }

  /** A log does not get shorter, and each commit of writes makes it longer. */
  private boolean isEarlierEnd(TargetMessage.Ready ready, ExpectedAnswer expected) {
    boolean tooLow =
        expected.advancesLog()
            ? history.hasReached(ready.position())
            : history.isPast(ready.position());
    return tooLow && history.hasEnd(ready);
  }

  /**
   * Returns whether the rows of a read may begin with a row of an earlier answer. A single row that
   * was sent before is the usual answer to a repeated read; it may stand before an empty result, if
   * there are such.
   */
  private boolean mayBeginWithEarlierRow() {
    return rows.size() == 1
        ? repeatedRows > 0 && emptyReadSeen && repeatsKnown.getAsBoolean()
        : repeatedRows > 0 && history.hasRow(rows.get(0)) && !history.hasResult(rows);
  }

  /** An answer that breaks off behind a row, once or more, is repeated from its first row. */
  private boolean beginsAgain() {
    return rows.size() > 1 && rows.lastIndexOf(rows.get(0)) > 0;
  }

  /**
   * What does not fit the oldest command is dropped if it equals an earlier answer, or settles a
   * command for which a repeat was taken. What fits is accepted, and noted if it may be a repeat.
   */
  private Verdict takeUnsigned(TargetMessage.Ready ready, ExpectedAnswer expected) {
    boolean equal = history.hasUnsigned(rows, ready);
    boolean fits =
        expected != null
            && !expected.isSigned()
            && ready.state() == expected.stateAfter(state)
            && rows.size() == (expected == ExpectedAnswer.REPORT ? 1 : 0);
    if (!fits || equal && history.isPast(ready.position())) {
      if (equal) {
        return dropAnswer("an earlier answer to an own command");
      }
      if (unsettledCount == 0) {
        return conclude(Verdict.UNPROVED, "an answer to an own command, where none is due");
      }
      // The command's own answer, after a repeat of an equal one was taken for it.
      unsettledCount--;
      history.addUnsigned(rows, ready);
      return dropAnswer("a further answer to an own command");
    }
    if (!equal && expected == ExpectedAnswer.REPORT && state == SessionState.IN_TRANSACTION) {
      // Reports in transactions confirm a begin. What was sent before this one is answered.
      unsettledCount = 0;
      unsettledRefusableCount = 0;
    }
    boolean report = expected == ExpectedAnswer.REPORT;
    mayBeRepeat = equal || report && (unsettledRefusableCount > 0 || repeatedRows > 0);
    if (equal) {
      unsettledCount++;
      unsettledRefusableCount += expected.mayBeRefused() ? 1 : 0;
    }
    history.addUnsigned(rows, ready);
    return accept(ready);
  }

  private Verdict takeFailure(
      TargetMessage.Failure failure, TargetMessage.Ready ready, ExpectedAnswer expected) {
    boolean equal =
        repeatsKnown.getAsBoolean()
            ? history.hasPartsOfFailure(failure, ready)
            : history.hasFailure(failure, ready);
    boolean fits =
        expected != null
            && mayFollowFailure(expected, ready.state())
            && mayFail(expected, failure.code());
    if (equal && (!fits || history.isPast(ready.position()))) {
      return dropAnswer("an earlier failure");
    }
    if (!fits) {
      return conclude(Verdict.UNPROVED, "a failure where none is due");
    }
    boolean surprising = equal && !isUsual(expected, failure.code());
    if (surprising && expected == ExpectedAnswer.REPORT) {
      unsettledCount++;
      unsettledRefusableCount++;
    } else if (surprising && !isHarmless(expected)) {
      return conclude(Verdict.UNPROVED, "a failure that equals an earlier one");
    } else if (surprising) {
      outOfStep = true;
    }
    if (unsettledRefusableCount > 0 && repeatsKnown.getAsBoolean()) {
      return conclude(Verdict.UNPROVED, "a failure that an earlier command may have had");
    }
    mayBeRepeat = surprising;
    history.addFailure(failure, rows, ready);
    return accept(ready);
  }

  /** Targets run reads outside transactions whether they are the primary or not. */
  private boolean mayFail(ExpectedAnswer expected, FailureCode code) {
    boolean needsPrimary =
        expected == ExpectedAnswer.BEGIN
            || expected.isSigned()
                && (expected != ExpectedAnswer.READ || state != SessionState.IDLE);
    return code != FailureCode.READ_ONLY || needsPrimary;
  }

  /**
   * Returns whether the same failure is expected again and again: begins are tried at a target that
   * is no longer the primary until it is known which one is.
   */
  private boolean isUsual(ExpectedAnswer expected, FailureCode code) {
    return code == FailureCode.READ_ONLY
        && expected == ExpectedAnswer.BEGIN
        && !repeatsKnown.getAsBoolean();
  }

  /** Returns whether a failure that is none can be reported: the caller loses a retry at most. */
  private boolean isHarmless(ExpectedAnswer expected) {
    return state == SessionState.IDLE
        && (expected == ExpectedAnswer.READ || expected == ExpectedAnswer.BEGIN);
  }

  /** A transaction stays open or fails; a commit that is refused may also end it. */
  private boolean mayFollowFailure(ExpectedAnswer expected, SessionState after) {
    return after == expected.stateAfter(state)
        || (after == SessionState.IDLE) == (state == SessionState.IDLE);
  }

  private Verdict accept(TargetMessage.Ready ready) {
    end = ready;
    state = ready.state();
    return Verdict.ANSWERED;
  }

  /** Drops a whole answer; its rows have to be earlier ones, too. */
  private Verdict dropAnswer(String reason) {
    boolean allEarlier = rows.stream().allMatch(history::hasRow);
    startAnswer();
    return allEarlier
        ? conclude(Verdict.REPEATED, reason)
        : conclude(Verdict.UNPROVED, reason + ", with new rows");
  }
}
