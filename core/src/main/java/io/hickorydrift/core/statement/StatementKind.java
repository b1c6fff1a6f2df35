package io.hickorydrift.core.statement;

/** What a caller's statement asks for. */
public enum StatementKind {
  BEGIN,
  BEGIN_READ_ONLY,
  COMMIT,
  ROLLBACK,
  READ,
  WRITE,
  SET_VALUE,
  PREPARE,
  EXECUTE,
  CLOSE_PREPARED,
  MALFORMED
}
