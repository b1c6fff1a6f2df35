package io.hickorydrift.core.statement;

/** Kind of a caller's statement. */
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
  MALFORMED,
  /** Would be too long for targets with what the proxy adds to it. */
  TOO_LARGE
}
