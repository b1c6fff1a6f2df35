package io.hickorydrift.core.statement;

/**
 * What tells the success of a command from those of others: whether the target signs it, the state
 * that it leaves the session in, whether it has rows, and whether the log is longer after it.
 */
public enum ExpectedAnswer {
  /** A caller's read. */
  READ(true),
  /** A caller's write inside a transaction, which leaves the log as it is. */
  WRITE_IN_TRANSACTION(true),
  /** A caller's write outside a transaction. */
  WRITE(true),
  /** A commit of a transaction that wrote nothing. */
  COMMIT_OF_READS(true),
  /** A commit of a transaction that wrote. */
  COMMIT_OF_WRITES(true),
  /** The begin of a transaction, which the target may refuse. */
  BEGIN(false),
  /** The rollback of a transaction. */
  ROLLBACK(false),
  /** A change of session values or prepared statements. */
  SETUP(false),
  /** A report, which the target may refuse. */
  REPORT(false);

  private final boolean signed;

  ExpectedAnswer(boolean signed) {
    this.signed = signed;
  }

  /** Returns whether a success carries the target's signature. */
  public boolean isSigned() {
    return signed;
  }

  /** Returns whether a success may carry rows. */
  public boolean mayHaveRows() {
    return signed || this == REPORT;
  }

  /** Returns whether the log is longer after a success than before the command. */
  public boolean advancesLog() {
    return this == WRITE || this == COMMIT_OF_WRITES;
  }

  /** Returns whether it answers a command of the proxy that the target may refuse. */
  public boolean mayBeRefused() {
    return this == BEGIN || this == REPORT;
  }

  /** Returns the state after a success, given the state before. */
  public SessionState stateAfter(SessionState before) {
    switch (this) {
      case BEGIN:
        return SessionState.IN_TRANSACTION;
      case COMMIT_OF_READS:
      case COMMIT_OF_WRITES:
      case ROLLBACK:
        return SessionState.IDLE;
      default:
        return before;
    }
  }
}
