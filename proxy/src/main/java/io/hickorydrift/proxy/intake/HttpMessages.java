package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.runtime.Json;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Reads headers of requests and writes responses.
 *
 * <p>Thread safety: stateless.
 */
final class HttpMessages {
  private static final String BEARER_PREFIX = "Bearer ";
  private static final long MS_PER_SECOND = 1_000;

  private HttpMessages() {}

  /** Converts the failure to read a body into the refusal that is sent. */
  static ProxyException toProxyException(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ProxyException refusal) {
      return refusal;
    }
    return new ProxyException(ResultCode.REQUEST_INCOMPLETE, null);
  }

  /** Returns the request's bearer token, or null if there is none. */
  static String bearerToken(Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    return header != null && header.startsWith(BEARER_PREFIX)
        ? header.substring(BEARER_PREFIX.length())
        : null;
  }

  /** Writes {@code body} as JSON. */
  static void writeJson(Response response, int status, Object body, Callback callback) {
    writeText(response, status, "application/json", Json.write(body), callback);
  }

  /** Writes {@code body} as text of {@code type}. */
  static void writeText(
      Response response, int status, String type, String body, Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    Content.Sink.write(response, true, body, callback);
  }

  /**
   * Writes the error response for a refusal at once, then discards what has not been received of
   * the body and completes the request.
   *
   * @param onWritten called when the response has been written or cannot be written
   */
  static void refuse(
      Response response,
      ProxyException refusal,
      RequestBody body,
      Runnable onWritten,
      Callback callback) {
    Callback written =
        Callback.from(
            Invocable.InvocationType.NON_BLOCKING,
            () -> {
              onWritten.run();
              body.discard(callback::succeeded);
            },
            failure -> {
              onWritten.run();
              callback.failed(failure);
            });
    writeRefusal(response, refusal, written);
  }

  private static void writeRefusal(Response response, ProxyException refusal, Callback callback) {
    ResultCode code = refusal.code();
    setRetryAfter(response, refusal.retryAfterMs());
    Long retryAfterMs = refusal.retryAfterMs() > 0 ? refusal.retryAfterMs() : null;
    CallerAnswer answer =
        CallerAnswer.builder()
            .code(code.number())
            .name(code.name())
            .message(refusal.getMessage())
            .retryAfterMs(retryAfterMs)
            .build();
    writeJson(response, code.httpStatus(), answer, callback);
  }

  /**
   * Sets the Retry-After header, in whole seconds rounded up, if {@code retryAfterMs} is positive.
   */
  static void setRetryAfter(Response response, long retryAfterMs) {
    if (retryAfterMs > 0) {
      long seconds = (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
  }
}
