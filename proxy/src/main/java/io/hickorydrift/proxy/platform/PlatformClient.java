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
 * Calls of the platform's key-value service and list of machines. A call that fails or gets no
 * answer in time completes with {@link PlatformException}; a write may have taken effect then.
 *
 * <p>Thread safety: safe; results complete on Jetty's threads.
 */
public final class PlatformClient {
  private static final long TIMEOUT_MS = 2_000;
  private static final long WATCH_GRACE_MS = 1_000;
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final HttpClient client;
  private final String base;
  private final AtomicLong calls = new AtomicLong();

  /** Calls the platform at {@code address}. */
  public PlatformClient(HttpClient client, String address) {
    this.client = client;
    base = "http://" + address;
  }

  /** Returns the number of calls so far. */
  public long callCount() {
    return calls.get();
  }

  /** Reads a key; the result is null if it is absent. */
  public CompletableFuture<StoredValue> get(String key) {
    return call(HttpMethod.GET, "/kv/" + key, null, TIMEOUT_MS).thenApply(PlatformClient::value);
  }

  /** Waits up to {@code waitMs} until the version of {@code key} is above {@code afterVersion}. */
  public CompletableFuture<StoredValue> watch(String key, long afterVersion, long waitMs) {
    String path = "/kv/" + key + "?after=" + afterVersion + "&wait_ms=" + waitMs;
    return call(HttpMethod.GET, path, null, waitMs + WATCH_GRACE_MS)
        .thenApply(PlatformClient::value);
  }

  /**
   * Writes {@code value} if the key is at {@code version}, 0 for absent; the result is null on a
   * conflict.
   */
  public CompletableFuture<StoredValue> compareAndSwap(String key, String value, long version) {
    return call(HttpMethod.PUT, "/kv/" + key + "?version=" + version, value, TIMEOUT_MS)
        .thenApply(reply -> reply.status == HttpStatus.CONFLICT_409 ? null : value(reply));
  }

  /** Returns the list of live and leaving instances and targets. */
  public CompletableFuture<List<ListedMachine>> listMachines() {
    return call(HttpMethod.GET, "/machines", null, TIMEOUT_MS)
        .thenApply(reply -> Json.read(reply.body, new TypeReference<List<ListedMachine>>() {}));
  }

  private record Reply(int status, String body) {}

  private static StoredValue value(Reply reply) {
    if (reply.status == HttpStatus.NOT_FOUND_404) {
      return null;
    }
    if (reply.status != HttpStatus.OK_200) {
      throw new PlatformException("platform answered " + reply.status);
    }
    return Json.read(reply.body, StoredValue.class);
  }

  private CompletableFuture<Reply> call(
      HttpMethod method, String path, String body, long timeoutMs) {
    calls.incrementAndGet();
    CompletableFuture<Reply> result = new CompletableFuture<>();
    Request request =
        client.newRequest(base + path).method(method).timeout(timeoutMs, TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(new StringRequestContent("application/json", body));
    }
    request.send(
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result outcome) {
            if (outcome.isFailed()) {
              result.completeExceptionally(
                  new PlatformException(String.valueOf(outcome.getFailure().getMessage())));
            } else {
              result.complete(new Reply(outcome.getResponse().getStatus(), getContentAsString()));
            }
          }
        });
    return result;
  }
}
