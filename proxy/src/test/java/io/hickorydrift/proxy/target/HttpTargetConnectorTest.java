package io.hickorydrift.proxy.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an answer that counts as that to another exchange than it names. */
class HttpTargetConnectorTest {
  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
  private static final Pattern EXCHANGE = Pattern.compile("\"exchangeId\" *: *(\\d+)");
  private static final int TIMEOUT_MS = 10_000;

  private final HttpClient client = new HttpClient();
  private ServerSocket listener;
  private TargetConnection connection;
  private Socket target;

  @BeforeEach
  void open() throws Exception {
    client.start();
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    CompletableFuture<TargetConnection> opened = new HttpTargetConnector(client).open(address);
    target = listener.accept();
    target.setSoTimeout(TIMEOUT_MS);
    connection = opened.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void close() throws Exception {
    connection.close();
    target.close();
    listener.close();
    client.stop();
  }

  private CompletableFuture<TargetAnswer> exchange() {
    TargetRequest request =
        TargetRequest.builder().op(TargetOp.READ).sql("SELECT 1").params(List.of()).build();
    return connection.exchange(request, TIMEOUT_MS);
  }

  /** Receives a request and returns the exchange id that it names. */
  private long receive() throws IOException {
    DataInputStream in = new DataInputStream(target.getInputStream());
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.readUnsignedByte());
    }
    Matcher length = LENGTH.matcher(head);
    assertThat(length.find()).isTrue();
    String body =
        new String(in.readNBytes(Integer.parseInt(length.group(1))), StandardCharsets.UTF_8);
    Matcher exchange = EXCHANGE.matcher(body);
    assertThat(exchange.find()).as(body).isTrue();
    return Long.parseLong(exchange.group(1));
  }

  private void answer(long exchangeId) throws IOException {
    String body = "{\"exchangeId\":" + exchangeId + ",\"status\":\"OK\",\"message\":\"answer\"}";
    String text = "HTTP/1.1 200 -\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    target.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void answerToAnotherExchangeEndsTheConnection() throws Exception {
    CompletableFuture<TargetAnswer> first = exchange();
    answer(receive());
    assertThat(first.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).message()).isEqualTo("answer");
    CompletableFuture<TargetAnswer> second = exchange();
    answer(receive() - 1);
    assertThatThrownBy(() -> second.get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
        .isInstanceOf(ExecutionException.class)
        .hasCauseInstanceOf(TargetException.class);
    assertThat(connection.usable()).isFalse();
  }
}
