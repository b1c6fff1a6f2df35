package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * What a target is asked on a session connection. Commands without a caller's id are the proxy's
 * own.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface TargetCommand {
  /**
   * A caller's statement, passed on unchanged.
   *
   * @param id the caller's id
   * @param text its text
   * @param atLeast position that the log must have, or null
   */
  record Run(String id, String text, Position atLeast) implements TargetCommand {}

  /**
   * An execution of a prepared statement under the name that this connection knows.
   *
   * @param id the caller's id
   * @param name name on this connection
   * @param argument the caller's arguments
   * @param atLeast position that the log must have, or null
   */
  record Execute(String id, String name, String argument, Position atLeast)
      implements TargetCommand {}

  /**
   * Begins a transaction.
   *
   * @param readOnly whether a replica may run it
   * @param atLeast position that the log must have, or null
   */
  record Begin(boolean readOnly, Position atLeast) implements TargetCommand {}

  /** Rolls the transaction back. */
  record Rollback() implements TargetCommand {}

  /** Drops session values and prepared statements. */
  record Reset() implements TargetCommand {}

  /** Sets a session value. */
  record SetValue(String name, String value) implements TargetCommand {}

  /** Prepares a statement. */
  record Prepare(String name, PreparedStatement prepared) implements TargetCommand {}

  /** Asks for a {@link TargetReport}. */
  record Report() implements TargetCommand {}
}
