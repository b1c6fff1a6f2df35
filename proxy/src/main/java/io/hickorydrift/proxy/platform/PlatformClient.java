package io.hickorydrift.proxy.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.proxy.runtime.Json;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Client of the platform's key-value store and list of machines. A call that fails or times out
 * completes with {@link PlatformException}; the write of such a call may still have taken effect.
 *
 * <p>Thread safety: safe; futures complete on Jetty's threads.
 */
public final class PlatformClient {
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final long WATCH_TIMEOUT_MARGIN_MS = 1_000;
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final HttpClient client;
  private final String baseUrl;
  private final AtomicLong callCount = new AtomicLong();

  /** Creates a client of the platform at {@code address}. */
  public PlatformClient(HttpClient client, String address) {
    this.client = client;
    baseUrl = "http://" + address;
  }

  /** Returns the number of calls made. */
  public long callCount() {
    return callCount.get();
  }

  /** Reads a key; completes with null if the key is absent. */
  public CompletableFuture<StoredValue> get(String key) {
    return send(HttpMethod.GET, "/kv/" + key, null, CALL_TIMEOUT_MS)
        .thenApply(PlatformClient::decodeValue);
  }

  /**
   * Waits up to {@code waitMs} for a version of {@code key} above {@code afterVersion} and returns
   * the current value.
   */
  public CompletableFuture<StoredValue> watch(String key, long afterVersion, long waitMs) {
    String path = "/kv/" + key + "?after=" + afterVersion + "&wait_ms=" + waitMs;
    return send(HttpMethod.GET, path, null, waitMs + WATCH_TIMEOUT_MARGIN_MS)
        .thenApply(PlatformClient::decodeValue);
  }

  /**
   * Writes {@code value} if the current version of the key is {@code version}, 0 if it is absent;
   * completes with null on a conflict.
   */
  public CompletableFuture<StoredValue> compareAndSwap(String key, String value, long version) {
    return send(HttpMethod.PUT, "/kv/" + key + "?version=" + version, value, CALL_TIMEOUT_MS)
        .thenApply(reply -> reply.status == HttpStatus.CONFLICT_409 ? null : decodeValue(reply));
  }

  /** Lists the live and leaving instances and targets. */
  public CompletableFuture<List<ListedMachine>> listMachines() {
    return send(HttpMethod.GET, "/machines", null, CALL_TIMEOUT_MS)
        .thenApply(reply -> Json.read(reply.body, new TypeReference<List<ListedMachine>>() {}));
  }

  private record Reply(int status, String body) {}

  private static StoredValue decodeValue(Reply reply) {
    if (reply.status == HttpStatus.NOT_FOUND_404) {
      return null;
    }
    if (reply.status != HttpStatus.OK_200) {
      throw new PlatformException("platform answered with status " + reply.status);
    }
    return Json.read(reply.body, StoredValue.class);
  }

  private CompletableFuture<Reply> send(
      HttpMethod method, String path, String body, long timeoutMs) {
    callCount.incrementAndGet();
    CompletableFuture<Reply> result = new CompletableFuture<>();
    Request request =
        client.newRequest(baseUrl + path).method(method).timeout(timeoutMs, TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(new StringRequestContent("application/json", body));
    }
    request.send(
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result exchange) {
            if (exchange.isFailed()) {
              result.completeExceptionally(
                  new PlatformException(String.valueOf(exchange.getFailure().getMessage())));
            } else {
              result.complete(new Reply(exchange.getResponse().getStatus(), getContentAsString()));
            }
          }
        });
    return result;
  }
}
