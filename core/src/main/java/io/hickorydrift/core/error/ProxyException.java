package io.hickorydrift.core.error;

/**
 * A refusal with its result code.
 *
 * <p>Thread safety: immutable.
 */
public final class ProxyException extends RuntimeException {
  private final ResultCode code;
  private final long retryAfterMs;

  /** A refusal that tells no time to come back. */
  public ProxyException(ResultCode code, String detail) {
    this(code, detail, 0);
  }

  /** A refusal that asks the caller to come back after {@code retryAfterMs}. */
  public ProxyException(ResultCode code, String detail, long retryAfterMs) {
    super(detail == null ? code.meaning() : detail, null, false, false);
    this.code = code;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns when to come back, in milliseconds; 0 if the refusal says nothing of it. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
