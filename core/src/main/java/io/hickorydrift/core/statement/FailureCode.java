package io.hickorydrift.core.statement;

/** Why a statement failed, and whether it may have taken effect. */
public enum FailureCode {
  /** Refused for want of room. */
  BUSY(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The log lacks the position asked for. */
  LAGGING(true),
  /** The target does not lead. */
  READ_ONLY(true),
  /** The target is another one. */
  MISROUTED(true),
  /** The target takes no more connections. */
  CONNECTION_LIMIT(true),
  /** No prepared statement of that name. */
  UNKNOWN_STATEMENT(true),
  /** The key is unknown or withdrawn. */
  UNAUTHORIZED(true),
  /** No route has that name. */
  UNKNOWN_DATABASE(true),
  /** The message is too large. */
  TOO_LARGE(true),
  /** The message cannot be understood here. */
  MALFORMED(true),
  /** It ran and failed. */
  FAILED(false),
  /** Time ran out. */
  TIMEOUT(false),
  /** It is not known whether it took effect. */
  IN_DOUBT(false);

  private final boolean notRun;

  FailureCode(boolean notRun) {
    this.notRun = notRun;
  }

  /** Returns whether nothing of the statement is kept. */
  public boolean hasNoEffect() {
    return notRun;
  }
}
