package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ForwardAnswer;

/**
 * Answers that refuse a request.
 *
 * <p>Thread safety: stateless.
 */
public final class Refusal {
  private static final long NO_AGE = -1;

  private Refusal() {}

  /** Returns a refusal; {@code retryAfterMs} is 0 if nothing is said of when to come back. */
  public static ForwardAnswer of(ResultCode code, long retryAfterMs) {
    return of(code, code.meaning(), retryAfterMs);
  }

  /** Returns a refusal with a reason of its own, null for the code's meaning. */
  public static ForwardAnswer of(ResultCode code, String message, long retryAfterMs) {
    return ForwardAnswer.builder()
        .code(code.number())
        .ageMs(NO_AGE)
        .retryAfterMs(retryAfterMs)
        .message(message == null ? code.meaning() : message)
        .build();
  }
}
