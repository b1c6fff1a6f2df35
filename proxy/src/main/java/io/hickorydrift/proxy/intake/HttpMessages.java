package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.runtime.Json;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * Reads bodies and writes answers.
 *
 * <p>Thread safety: stateless.
 */
final class HttpMessages {
  private static final String BEARER = "Bearer ";
  private static final long MS_PER_SECOND = 1_000;

  private HttpMessages() {}

  /** Reads a whole body of at most {@code maxBytes} within {@code timeoutMs}. */
  static CompletableFuture<byte[]> readBody(Request request, int maxBytes, long timeoutMs) {
    long declared = request.getLength();
    if (declared > maxBytes) {
      return CompletableFuture.failedFuture(new ProxyException(ResultCode.REQUEST_TOO_LARGE, null));
    }
    BodyPromise body = new BodyPromise();
    Content.Source.asByteArrayAsync(request, maxBytes, body);
    return body.result.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
  }

  private static final class BodyPromise implements Promise.Invocable<byte[]> {
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();

    @Override
    public void succeeded(byte[] body) {
      result.complete(body);
    }

    @Override
    public void failed(Throwable failure) {
      result.completeExceptionally(failure);
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }

  /** Returns the refusal that a failed read of a body stands for. */
  static ProxyException toProxyException(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ProxyException refusal) {
      return refusal;
    }
    if (cause instanceof TimeoutException) {
      return new ProxyException(ResultCode.REQUEST_INCOMPLETE, null);
    }
    boolean tooLarge = cause instanceof IllegalStateException;
    return new ProxyException(
        tooLarge ? ResultCode.REQUEST_TOO_LARGE : ResultCode.REQUEST_INCOMPLETE, null);
  }

  /** Returns the bearer token of a request, or null. */
  static String bearerToken(Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : null;
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

  /** Writes a refusal. */
  static void writeRefusal(Response response, ProxyException refusal, Callback callback) {
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

  /** Sets the header that tells when to come back. */
  static void setRetryAfter(Response response, long retryAfterMs) {
    if (retryAfterMs > 0) {
      long seconds = (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
  }
}
