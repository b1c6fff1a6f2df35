package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * A command to a target on a session connection. Commands without a caller's id originate in the
 * proxy.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetCommand {
  /**
   * Runs a caller's statement, which is forwarded unchanged.
   *
   * @param id the caller's id
   * @param text text of the statement
   * @param atLeast position that the target must have applied, or null
   */
  record Run(String id, String text, Position atLeast) implements TargetCommand {}

  /**
   * Executes a prepared statement under its name on this connection.
   *
   * @param id the caller's id
   * @param name name of the prepared statement on this connection
   * @param argument the caller's arguments
   * @param atLeast position that the target must have applied, or null
   */
  record Execute(String id, String name, String argument, Position atLeast)
      implements TargetCommand {}

  /**
   * Begins a transaction.
   *
   * @param readOnly whether a replica may run it
   * @param atLeast position that the target must have applied, or null
   */
  record Begin(boolean readOnly, Position atLeast) implements TargetCommand {}

  /** Rolls back the transaction. */
  record Rollback() implements TargetCommand {}

  /** Discards session values and prepared statements. */
  record Reset() implements TargetCommand {}

  /** Sets a session value. */
  record SetValue(String name, String value) implements TargetCommand {}

  /** Prepares a statement. */
  record Prepare(String name, PreparedStatement prepared) implements TargetCommand {}

  /** Requests a {@link TargetReport}. */
  record Report() implements TargetCommand {}
}
