package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.CallerRequest;
import io.hickorydrift.proxy.intake.CallerHandler;
import io.hickorydrift.proxy.runtime.Json;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client of a caller with one key and one session, which may be used on several instances.
 *
 * <p>Thread safety: the session token of the latest answer replaces the previous one; use one
 * client for each session.
 */
public final class CallerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient http;
  private final String key;
  private volatile String session;

  /** Creates a caller that authenticates with {@code key}, or without a key if null. */
  public CallerClient(HttpClient http, String key) {
    this.http = http;
    this.key = key;
  }

  /** Returns an HTTP client that callers can share. */
  public static HttpClient newHttpClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2))
        .build();
  }

  /** Returns the body of a request. */
  public static CallerRequest body(String sql, Long maxAgeMs, Long deadlineMs, Object... params) {
    return new CallerRequest(sql, List.of(params), maxAgeMs, deadlineMs);
  }

  /** Calls a route without a request id and waits for the answer. */
  public CallerAnswer call(String address, String route, String sql, Object... params) {
    return call(address, route, null, body(sql, null, null, params)).join();
  }

  /** Calls a route with a request id, or without one if null. */
  public CompletableFuture<CallerAnswer> call(
      String address, String route, String requestId, CallerRequest body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/" + route))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(Json.write(body)));
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    String sessionToken = session;
    if (sessionToken != null) {
      request.header(CallerHandler.SESSION_HEADER, sessionToken);
    }
    if (requestId != null) {
      request.header(CallerHandler.REQUEST_ID_HEADER, requestId);
    }
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(this::readAnswer);
  }

  /** Returns the session token, or null before the first answer. */
  public String session() {
    return session;
  }

  private CallerAnswer readAnswer(HttpResponse<String> response) {
    CallerAnswer answer = Json.read(response.body(), CallerAnswer.class);
    if (answer.session() != null) {
      session = answer.session();
    }
    return answer;
  }
}
