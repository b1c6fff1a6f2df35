package io.hickorydrift.core.statement;

/** Where a session stands between two statements. */
public enum SessionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** A transaction failed; ending it rolls back. */
  FAILED
}
