package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.bench.FreePorts;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Tests requests that arrive together on one connection. */
class HttpServerConnectionTest {
  private static final String TWO_REQUESTS =
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";

  private static final int MAX_ITERATIONS = 500;

  private final EventLoop loop = new EventLoop();
  private final List<HttpExchange> exchanges = new ArrayList<>();
  private final StringBuilder received = new StringBuilder();
  private Map<String, String> additionalHeaders = Map.of();
  private boolean closed;

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < MAX_ITERATIONS && !condition.getAsBoolean(); i++) {
      loop.runOnce(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private void sendTwoRequests(boolean answerAtOnce) throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel ->
            new HttpServerConnection(
                channel,
                exchange -> {
                  exchanges.add(exchange);
                  if (answerAtOnce) {
                    exchange.respond(200, "text/plain", additionalHeaders, exchange.path());
                  }
                }));
    ChannelHandler client =
        new ChannelHandler() {
          @Override
          public void received(ByteBuffer in) {
            received.append(StandardCharsets.ISO_8859_1.decode(in));
          }

          @Override
          public void closed(String reason) {
            closed = true;
          }
        };
    TcpChannel.connect(loop, address, client).out().text(TWO_REQUESTS);
  }

  @Test
  void requestBeforeTheResponseToTheLastOneClosesTheConnection() throws IOException {
    sendTwoRequests(false);
    runUntil(() -> closed);
    assertThat(exchanges).extracting(HttpExchange::path).containsExactly("/a");
    exchanges.get(0).respond(200, "text/plain", "late");
    loop.runOnce(1);
    assertThat(received).isEmpty();
  }

  @Test
  void requestsAnsweredAtOnceAreAnsweredInOrder() throws IOException {
    sendTwoRequests(true);
    runUntil(() -> received.indexOf("/b") >= 0);
    assertThat(received.indexOf("/a")).isBetween(0, received.indexOf("/b"));
  }

  @Test
  void answersCarryAdditionalHeaders() throws IOException {
    additionalHeaders = Map.of("X-Count", "7");
    sendTwoRequests(true);
    runUntil(() -> received.indexOf("/b") >= 0);
    assertThat(received.toString().split("\r\nX-Count: 7\r\n", -1)).hasSize(3);
  }
}
