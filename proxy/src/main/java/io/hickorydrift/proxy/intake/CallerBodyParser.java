package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerRequest;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.proxy.runtime.Json;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Turns an admitted request's body into the request that goes to a home.
 *
 * <p>Thread safety: stateless.
 */
final class CallerBodyParser {
  private static final long MAX_DEADLINE_MS = 60_000;
  private static final long DEFAULT_DEADLINE_MS = 2_000;

  private CallerBodyParser() {}

  /** Returns the request for a home; throws {@link ProxyException} if the body is wrong. */
  static ForwardRequest toForwardRequest(AuthorizedRequest admission, byte[] body) {
    CallerRequest parsed = parse(body);
    boolean needsSql =
        admission.op() == HomeOp.READ
            || admission.op() == HomeOp.WRITE
            || admission.op() == HomeOp.STATEMENT;
    if (needsSql && (parsed.sql() == null || parsed.sql().isBlank())) {
      throw new ProxyException(ResultCode.MALFORMED_REQUEST, "sql is missing");
    }
    Route route = admission.route();
    long deadlineMs =
        parsed.deadlineMs() != null
            ? parsed.deadlineMs()
            : route == null ? DEFAULT_DEADLINE_MS : route.deadlineMs();
    long maxAgeMs =
        parsed.maxAgeMs() != null ? parsed.maxAgeMs() : route == null ? -1 : route.maxAgeMs();
    if (deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST, "deadlineMs takes 1 to " + MAX_DEADLINE_MS);
    }
    return ForwardRequest.builder()
        .organisation(admission.organisation())
        .group(admission.group())
        .op(admission.op())
        .sql(needsSql ? parsed.sql() : null)
        .params(parsed.params() == null ? List.of() : parsed.params())
        .sessionPosition(admission.session().requiredPosition(admission.group()))
        .maxAgeMs(Math.max(-1, maxAgeMs))
        .deadlineMs(deadlineMs)
        .requestId(admission.requestId())
        .transactionId(admission.transactionId())
        .build();
  }

  private static CallerRequest parse(byte[] body) {
    if (body.length == 0) {
      return CallerRequest.builder().build();
    }
    try {
      CallerRequest parsed =
          Json.read(new String(body, StandardCharsets.UTF_8), CallerRequest.class);
      if (parsed != null) {
        return parsed;
      }
    } catch (UncheckedIOException e) {
      // Told below, without the parser's words, which may hold parts of the body.
    }
    throw new ProxyException(ResultCode.MALFORMED_REQUEST, null);
  }
}
