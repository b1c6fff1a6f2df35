package io.hickorydrift.core.message;

/**
 * What a target is asked to do.
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
