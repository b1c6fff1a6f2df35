package io.hickorydrift.core.message;

/**
 * Outcome of one exchange with a target. The operation took effect only if the status is OK.
 */
public enum TargetStatus {
  OK,

  WRONG_TERM,

  NOT_PRIMARY,

  BEHIND,

  SQL_ERROR,

  NO_TRANSACTION,

  TOO_MANY_CONNECTIONS,

  BAD_REQUEST
}
