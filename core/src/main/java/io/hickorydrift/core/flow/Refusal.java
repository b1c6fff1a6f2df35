package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ForwardAnswer;

/**
 * Factory of answers that refuse a request.
 *
 * <p>Thread safety: stateless.
 */
public final class Refusal {
  private static final long UNKNOWN_AGE_MS = -1;

  private Refusal() {}

  /** Returns a refusal; {@code retryAfterMs} is 0 if it gives no time for a retry. */
  public static ForwardAnswer of(ResultCode code, long retryAfterMs) {
    return of(code, code.meaning(), retryAfterMs);
  }

  /** Returns a refusal with a specific message, or with the code's meaning if that is null. */
  public static ForwardAnswer of(ResultCode code, String message, long retryAfterMs) {
    return ForwardAnswer.builder()
        .code(code.number())
        .ageMs(UNKNOWN_AGE_MS)
        .retryAfterMs(retryAfterMs)
        .message(message == null ? code.meaning() : message)
        .build();
  }
}
