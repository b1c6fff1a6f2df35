package io.hickorydrift.core.statement;

/**
 * A message from a caller on its connection.
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

  /** A message that cannot be parsed; later messages on the connection may still be valid. */
  record Unreadable(FailureCode code, String reason) implements CallerMessage {}
}
