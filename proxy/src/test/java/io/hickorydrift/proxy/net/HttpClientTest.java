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
}
