package io.hickorydrift.core.message;

/**
 * Operation that an instance requests from a target.
 */
public enum TargetOp {
  READ,

  WRITE,

  BEGIN,

  STATEMENT,

  COMMIT,

  ROLLBACK,

  STATUS,

  AWAIT,

  FENCE,

  PROMOTE
}
