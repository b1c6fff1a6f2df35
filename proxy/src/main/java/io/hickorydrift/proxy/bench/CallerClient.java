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
 * A caller with one key and one session that may roam between instances.
 *
 * <p>Thread safety: the session is kept by the last answer; use one client for each session.
 */
public final class CallerClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient http;
  private final String key;
  private volatile String session;

  /** A caller with {@code key}, null for none. */
  public CallerClient(HttpClient http, String key) {
    this.http = http;
    this.key = key;
  }

  /** Returns an HTTP client for callers. */
  public static HttpClient newHttpClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2))
        .build();
  }

  /** Returns a request's body. */
  public static CallerRequest body(String sql, Long maxAgeMs, Long deadlineMs, Object... params) {
    return new CallerRequest(sql, List.of(params), maxAgeMs, deadlineMs);
  }

  /** Calls a route and waits for the answer. */
  public CallerAnswer call(String address, String route, String sql, Object... params) {
    return call(address, route, null, body(sql, null, null, params)).join();
  }

  /** Calls a route under a request id, null for none. */
  public CompletableFuture<CallerAnswer> call(
      String address, String route, String requestId, CallerRequest body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/" + route))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(Json.write(body)));
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    String shown = session;
    if (shown != null) {
      request.header(CallerHandler.SESSION_HEADER, shown);
    }
    if (requestId != null) {
      request.header(CallerHandler.REQUEST_ID_HEADER, requestId);
    }
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenApply(this::read);
  }

  /** Returns the session token, null before the first answer. */
  public String session() {
    return session;
  }

  private CallerAnswer read(HttpResponse<String> response) {
    CallerAnswer answer = Json.read(response.body(), CallerAnswer.class);
    if (answer.session() != null) {
      session = answer.session();
    }
    return answer;
  }
}
