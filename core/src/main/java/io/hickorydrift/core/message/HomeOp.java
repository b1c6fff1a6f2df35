package io.hickorydrift.core.message;

/**
 * What an entry instance asks a home instance of a group to do.
 */
public enum HomeOp {
  READ,

  WRITE,

  BEGIN,

  STATEMENT,

  COMMIT,

  ROLLBACK
}
