package io.hickorydrift.proxy.target;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.proxy.runtime.Json;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.Promise;

/**
 * Opens HTTP/1.1 connections with Jetty's client. Each connection belongs to its caller and is not
 * pooled by Jetty.
 *
 * <p>Thread safety: safe.
 */
public final class HttpTargetConnector implements TargetConnector {
  private static final int MAX_ANSWER_BYTES = 3 * 1024 * 1024;

  private final HttpClient client;
  private final AtomicLong exchangeIds = new AtomicLong();

  /** Creates a connector that opens connections with {@code client}. */
  public HttpTargetConnector(HttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<TargetConnection> open(String address) {
    CompletableFuture<TargetConnection> opened = new CompletableFuture<>();
    String url = "http://" + address + "/exchange";
    client
        .resolveDestination(client.newRequest(url))
        .newConnection(
            new Promise<>() {
              @Override
              public void succeeded(Connection connection) {
                opened.complete(new HttpTargetConnection(url, connection));
              }

              @Override
              public void failed(Throwable failure) {
                opened.completeExceptionally(
                    new TargetException(String.valueOf(failure.getMessage())));
              }
            });
    return opened;
  }

  private final class HttpTargetConnection implements TargetConnection {
    private final String url;
    private final Connection connection;
    private volatile boolean closed;

    private HttpTargetConnection(String url, Connection connection) {
      this.url = url;
      this.connection = connection;
    }

    @Override
    public CompletableFuture<TargetAnswer> exchange(TargetRequest request, long timeoutMs) {
      CompletableFuture<TargetAnswer> answered = new CompletableFuture<>();
      TargetRequest requestWithId = withExchangeId(request);
      Request http =
          client
              .newRequest(url)
              .method(HttpMethod.POST)
              .timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS)
              .body(new StringRequestContent("application/json", Json.write(requestWithId)));
      connection.send(
          http,
          new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
              if (result.isFailed()) {
                fail(answered, String.valueOf(result.getFailure().getMessage()));
              } else {
                completeFromResponse(
                    answered, result, getContentAsString(), requestWithId.exchangeId());
              }
            }
          });
      return answered;
    }

    private TargetRequest withExchangeId(TargetRequest request) {
      return new TargetRequest(
          exchangeIds.incrementAndGet(),
          request.op(),
          request.term(),
          request.organisation(),
          request.requestId(),
          request.sql(),
          request.params(),
          request.position(),
          request.waitMs());
    }

    private void completeFromResponse(
        CompletableFuture<TargetAnswer> answered, Result result, String body, long exchangeId) {
      if (result.getResponse().getStatus() != HttpStatus.OK_200) {
        fail(answered, "target returned HTTP status " + result.getResponse().getStatus());
        return;
      }
      try {
        TargetAnswer answer = Json.read(body, TargetAnswer.class);
        if (answer.status() == null || answer.exchangeId() != exchangeId) {
          fail(answered, "answer without a status or with another exchange id");
        } else {
          answered.complete(answer);
        }
      } catch (UncheckedIOException e) {
        fail(answered, "answer is not valid JSON");
      }
    }

    private void fail(CompletableFuture<TargetAnswer> answered, String reason) {
      close();
      answered.completeExceptionally(new TargetException(reason));
    }

    @Override
    public boolean usable() {
      return !closed && !connection.isClosed();
    }

    @Override
    public void close() {
      closed = true;
      connection.close();
    }
  }
}
