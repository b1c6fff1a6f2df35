package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * A command to a target on a session connection. Commands without a caller's id originate in the
 * proxy.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetCommand {
  /** What stands for the caller's id in commands that originate in the proxy. */
  String NO_CALLER = "-";

  /** Returns the caller's id of the statement, or {@link #NO_CALLER}. */
  default String callerId() {
    return NO_CALLER;
  }

  /** Returns what tells the answer to this command from others. */
  ExpectedAnswer expectedAnswer();

  /**
   * Runs a caller's statement, which is forwarded unchanged.
   *
   * @param id the caller's id
   * @param text text of the statement
   * @param atLeast position that the target must have applied, or null
   * @param expectedAnswer what its success looks like
   */
  record Run(String id, String text, Position atLeast, ExpectedAnswer expectedAnswer)
      implements TargetCommand {
    @Override
    public String callerId() {
      return id;
    }
  }

  /**
   * Executes a prepared statement under its name on this connection.
   *
   * @param id the caller's id
   * @param name name of the prepared statement on this connection
   * @param argument the caller's arguments
   * @param atLeast position that the target must have applied, or null
   * @param expectedAnswer what its success looks like
   */
  record Execute(
      String id, String name, String argument, Position atLeast, ExpectedAnswer expectedAnswer)
      implements TargetCommand {
    @Override
    public String callerId() {
      return id;
    }
  }

  /**
   * Begins a transaction.
   *
   * @param readOnly whether a replica may run it
   * @param atLeast position that the target must have applied, or null
   */
  record Begin(boolean readOnly, Position atLeast) implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.BEGIN;
    }
  }

  /** Rolls back the transaction. */
  record Rollback() implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.ROLLBACK;
    }
  }

  /** Discards session values and prepared statements. */
  record Reset() implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.SETUP;
    }
  }

  /** Sets a session value. */
  record SetValue(String name, String value) implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.SETUP;
    }
  }

  /** Prepares a statement. */
  record Prepare(String name, PreparedStatement prepared) implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.SETUP;
    }
  }

  /** Discards a prepared statement. */
  record ClosePrepared(String name) implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.SETUP;
    }
  }

  /** Requests a {@link TargetReport}. */
  record Report() implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.REPORT;
    }
  }

  /**
   * Stops a replica from receiving commits until a {@link Resume}, a promotion or its restart. The
   * answer is a {@link TargetReport}.
   *
   * @param term a term above the newest one of the group
   */
  record Pause(long term) implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.REPORT;
    }
  }

  /** Lets a replica receive commits again. The answer is a {@link TargetReport}. */
  record Resume() implements TargetCommand {
    @Override
    public ExpectedAnswer expectedAnswer() {
      return ExpectedAnswer.REPORT;
    }
  }
}
