package io.hickorydrift.core.error;

/**
 * A refused or failed request, with its result code.
 *
 * <p>Thread safety: immutable.
 */
public final class ProxyException extends RuntimeException {
  private final ResultCode code;
  private final long retryAfterMs;

  /** Creates an exception without a retry delay. */
  public ProxyException(ResultCode code, String detail) {
    this(code, detail, 0);
  }

  /** Creates an exception that asks the caller to retry after {@code retryAfterMs}. */
  public ProxyException(ResultCode code, String detail, long retryAfterMs) {
    super(detail == null ? code.meaning() : detail, null, false, false);
    this.code = code;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns the delay before a retry, in milliseconds; 0 if none is given. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
