package io.hickorydrift.core.message;

/**
 * Operation that an entry instance forwards to a home instance of a group.
 */
public enum HomeOp {
  READ,

  WRITE,

  BEGIN,

  STATEMENT,

  COMMIT,

  ROLLBACK
}
