package io.hickorydrift.core.statement;

/** Transaction state of a session between two statements. */
public enum SessionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** A transaction failed; ending it rolls back. */
  FAILED
}
