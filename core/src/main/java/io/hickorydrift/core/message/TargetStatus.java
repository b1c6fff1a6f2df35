package io.hickorydrift.core.message;

/**
 * Outcome of one exchange with a target. Only OK means that anything took effect.
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
