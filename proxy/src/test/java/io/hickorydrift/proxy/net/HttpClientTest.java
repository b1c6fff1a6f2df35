package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.bench.FreePorts;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HttpClientTest {
  private static final HttpRequest REQUEST = new HttpRequest("GET", "/page", Map.of(), "");

  private final EventLoop loop = new EventLoop();
  private final List<HttpResult> results = new ArrayList<>();

  @Test
  void reusesConnectionForSequentialCalls() throws IOException {
    String address = FreePorts.nextAddress();
    List<TcpChannel> accepted = new ArrayList<>();
    new TcpListener(
        loop,
        address,
        channel -> {
          accepted.add(channel);
          return new HttpServerConnection(
              channel, exchange -> exchange.respond(200, "text/plain", "you: " + exchange.path()));
        });
    HttpClient client = new HttpClient(loop, address);
    client.call(
        REQUEST,
        2_000,
        first -> {
          results.add(first);
          client.call(
              REQUEST,
              2_000,
              second -> {
                results.add(second);
                loop.stop();
              });
        });
    loop.after(5_000, loop::stop);
    loop.run();
    assertThat(results).extracting(HttpResult::status).containsExactly(200, 200);
    assertThat(new String(results.get(1).body(), StandardCharsets.UTF_8)).isEqualTo("you: /page");
    assertThat(accepted).hasSize(1);
  }

  @Test
  void failsCallWithoutResponseAfterTimeout() throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel ->
            new ChannelHandler() {
              @Override
              public void received(java.nio.ByteBuffer in) {
                in.position(in.limit());
              }

              @Override
              public void closed(String reason) {
                loop.stop();
              }
            });
    new HttpClient(loop, address).call(REQUEST, 50, results::add);
    loop.after(5_000, loop::stop);
    loop.run();
    assertThat(results).extracting(HttpResult::status).containsExactly(HttpResult.NO_ANSWER);
  }

  /** Answers one call with the lines {@code headers} as they are, and returns its result. */
  private HttpResult callAnsweredWith(String headers) throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel ->
            new ChannelHandler() {
              @Override
              public void received(java.nio.ByteBuffer in) {
                in.position(in.limit());
                channel.out().text("HTTP/1.1 200 -\r\n" + headers + "Content-Length: 0\r\n\r\n");
              }

              @Override
              public void closed(String reason) {}
            });
    new HttpClient(loop, address)
        .call(
            REQUEST,
            2_000,
            result -> {
              results.add(result);
              loop.stop();
            });
    loop.after(5_000, loop::stop);
    loop.run();
    assertThat(results).extracting(HttpResult::status).containsExactly(200);
    return results.get(0);
  }

  @Test
  void findsHeadersOfTheResponseInAnyCase() throws IOException {
    HttpResult result = callAnsweredWith("X-Count: 7\r\n");
    assertThat(result.header("x-count")).isEqualTo("7");
    assertThat(result.header("X-COUNT")).isEqualTo("7");
    assertThat(result.header("X-Other")).isNull();
  }

  @Test
  void joinsTheValuesOfRepeatedHeaders() throws IOException {
    assertThat(callAnsweredWith("X-Count: 7\r\nx-count: 8\r\n").header("X-Count")).isEqualTo("7,8");
  }

  @Test
  void dropsHeadersThatAreTooLong() throws IOException {
    HttpResult result = callAnsweredWith("X-Long: " + "v".repeat(1_500) + "\r\nX-Count: 7\r\n");
    assertThat(result.header("X-Long")).isNull();
    assertThat(result.header("X-Count")).isEqualTo("7");
  }

  @Test
  void keepsBoundedNumberOfHeaders() throws IOException {
    StringBuilder headers = new StringBuilder("X-Count: 7\r\n");
    for (int i = 0; i < 200; i++) {
      headers.append("X-").append(i).append(": 1\r\n");
    }
    HttpResult result = callAnsweredWith(headers.toString());
    assertThat(result.headers()).hasSizeLessThanOrEqualTo(64);
    assertThat(result.header("X-Count")).isEqualTo("7");
  }

  @Test
  void keepsNoHeadersOfTheResponseBefore() throws IOException {
    String address = FreePorts.nextAddress();
    List<String> requests = new ArrayList<>();
    new TcpListener(
        loop,
        address,
        channel ->
            new HttpServerConnection(
                channel,
                exchange -> {
                  requests.add(exchange.path());
                  Map<String, String> headers =
                      requests.size() == 1 ? Map.of("X-Count", "7") : Map.of();
                  exchange.respond(200, "text/plain", headers, "");
                }));
    HttpClient client = new HttpClient(loop, address);
    client.call(
        REQUEST,
        2_000,
        first -> {
          results.add(first);
          client.call(
              REQUEST,
              2_000,
              second -> {
                results.add(second);
                loop.stop();
              });
        });
    loop.after(5_000, loop::stop);
    loop.run();
    assertThat(results).extracting(result -> result.header("X-Count")).containsExactly("7", null);
  }

  @Test
  void doesNotTakeRepeatedResponseForTheResponseToTheNextCall() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      HttpClient client = new HttpClient(loop, server.address());
      client.call(REQUEST, 2_000, results::add);
      RawHttpServer.Connection first = server.accept();
      first.answer("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nold");
      server.runUntil(() -> results.size() == 1);
      first.send("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nold");
      client.call(REQUEST, 2_000, results::add);
      server.accept().answer("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nnew");
      server.runUntil(() -> results.size() == 2);
      assertThat(bodies()).containsExactly("old", "new");
    }
  }

  @Test
  void closesConnectionOnWhichBytesArriveWhileNoCallIsOutstanding() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      HttpClient client = new HttpClient(loop, server.address());
      client.call(REQUEST, 2_000, results::add);
      RawHttpServer.Connection first = server.accept();
      first.answer("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nold");
      server.runUntil(() -> results.size() == 1);
      first.send("x");
      assertThat(first.isClosedByClient()).isTrue();
    }
  }

  @Test
  void doesNotTakeLateResponseOfTimedOutCallForTheResponseToTheNextCall() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      HttpClient client = new HttpClient(loop, server.address());
      client.call(REQUEST, 50, results::add);
      RawHttpServer.Connection first = server.accept();
      server.runUntil(() -> results.size() == 1);
      assertThat(first.isClosedByClient()).isTrue();
      client.call(REQUEST, 2_000, results::add);
      server.accept().answer("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nnew");
      server.runUntil(() -> results.size() == 2);
      assertThat(results).extracting(HttpResult::status).containsExactly(HttpResult.NO_ANSWER, 200);
      assertThat(bodies().get(1)).isEqualTo("new");
    }
  }

  @Test
  void closesConnectionWithBytesBeyondTheContentLength() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      HttpClient client = new HttpClient(loop, server.address());
      client.call(REQUEST, 2_000, results::add);
      RawHttpServer.Connection first = server.accept();
      first.answer("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 -\r\n");
      server.runUntil(() -> results.size() == 1);
      assertThat(bodies()).containsExactly("old");
      assertThat(first.isClosedByClient()).isTrue();
    }
  }

  @Test
  void failsCallWhoseBodyIsShorterThanTheContentLength() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      new HttpClient(loop, server.address()).call(REQUEST, 2_000, results::add);
      RawHttpServer.Connection first = server.accept();
      first.answer("HTTP/1.1 200 -\r\nContent-Length: 30\r\n\r\nold");
      first.close();
      server.runUntil(() -> results.size() == 1);
      assertThat(results).extracting(HttpResult::status).containsExactly(HttpResult.NO_ANSWER);
    }
  }

  @Test
  void waitsForTheFinalResponseAfterInterimOnes() throws IOException {
    try (RawHttpServer server = new RawHttpServer(loop)) {
      HttpClient client = new HttpClient(loop, server.address());
      client.call(REQUEST, 2_000, results::add);
      RawHttpServer.Connection first = server.accept();
      first.answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 -\r\nLink: x\r\n\r\n");
      first.send("HTTP/1.1 200 -\r\nContent-Length: 3\r\n\r\nnew");
      server.runUntil(() -> results.size() == 1);
      client.call(REQUEST, 2_000, results::add);
      first.answer("HTTP/1.1 204 -\r\n\r\n");
      server.runUntil(() -> results.size() == 2);
      assertThat(results).extracting(HttpResult::status).containsExactly(200, 204);
      assertThat(bodies()).containsExactly("new", "");
    }
  }

  private List<String> bodies() {
    return results.stream()
        .map(result -> new String(result.body(), StandardCharsets.UTF_8))
        .toList();
  }
}
