package io.hickorydrift.core.statement;

/**
 * What a caller says on its connection.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface CallerMessage {
  /** Opens the session; the credential is never logged. */
  record Open(String database, String credential) implements CallerMessage {}

  /** Runs a statement. */
  record Run(Statement statement) implements CallerMessage {}

  /** Ends the session. */
  record End() implements CallerMessage {}

  /** A message that cannot be understood; the next one may be. */
  record Unreadable(FailureCode code, String reason) implements CallerMessage {}
}
