package io.hickorydrift.core.statement;

/** Reason why a statement failed, and whether it may have taken effect. */
public enum FailureCode {
  /** Rejected for lack of capacity. */
  BUSY(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The target has not applied the requested position. */
  LAGGING(true),
  /** The target is not the primary. */
  READ_ONLY(true),
  /** The connection reached a different target than intended. */
  MISROUTED(true),
  /** The target has reached its connection limit. */
  CONNECTION_LIMIT(true),
  /** No prepared statement has that name. */
  UNKNOWN_STATEMENT(true),
  /** The key is unknown or revoked. */
  UNAUTHORIZED(true),
  /** No route has that name. */
  UNKNOWN_DATABASE(true),
  /** The message is too large. */
  TOO_LARGE(true),
  /** The message cannot be parsed. */
  MALFORMED(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** The deadline passed. */
  TIMEOUT(false),
  /** It is unknown whether the statement took effect. */
  IN_DOUBT(false);

  private final boolean hasNoEffect;

  FailureCode(boolean hasNoEffect) {
    this.hasNoEffect = hasNoEffect;
  }

  /** Returns whether the statement certainly had no effect. */
  public boolean hasNoEffect() {
    return hasNoEffect;
  }
}
