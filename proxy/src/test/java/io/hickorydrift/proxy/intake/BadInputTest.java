package io.hickorydrift.proxy.intake;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.bench.CallerClient;
import io.hickorydrift.proxy.bench.FleetPlan;
import io.hickorydrift.proxy.bench.LocalFleet;
import io.hickorydrift.proxy.runtime.Json;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Invalid, oversized and incomplete requests: each must get the result code of its fault and must
 * not stay counted as in flight.
 */
class BadInputTest {
  private static final int CHUNK_BYTES = 100_000;
  private static final byte[] CHUNK = chunk();
  private static final HttpClient HTTP = CallerClient.newHttpClient();
  private static LocalFleet fleet;
  private static String address;

  @BeforeAll
  static void start() {
    fleet = LocalFleet.start(FleetPlan.builder().instances(3).build());
    address = fleet.instances().get(0).callersAddress();
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static CallerAnswer post(String route, String key, String header, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/" + route))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    if (header != null) {
      String[] parts = header.split(":", 2);
      request.header(parts[0], parts[1]);
    }
    HttpResponse<String> response =
        HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
    return Json.read(response.body(), CallerAnswer.class);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      nullValues = "-",
      value = {
        "read-0   | local-key-0 | -                        | {                           | 100",
        "read-0   | local-key-0 | -                        | [1,2]                       | 100",
        "read-0   | local-key-0 | -                        | null                        | 100",
        "read-0   | local-key-0 | -                        | {\"sql\":\"\"}              | 100",
        "read-0   | local-key-0 | -                        | {\"sql\":7,\"params\":{}}   | 100",
        "read-0   | local-key-0 | - | {\"sql\":\"SELECT 1\",\"deadlineMs\":0} | 100",
        "read-0   | local-key-0 | -                        | {\"sql\":\"SELEKT\"}        | 105",
        "nothing  | local-key-0 | -                        | {\"sql\":\"SELECT 1\"}      | 102",
        "nothing  | wrong       | -                        | {\"sql\":\"SELECT 1\"}      | 200",
        "read-0   | wrong       | -                        | {\"sql\":\"SELECT 1\"}      | 200",
        "read-0   | -           | -                        | {\"sql\":\"SELECT 1\"}      | 200",
        "read-0   | local-key-0 | Session-Token:AAAA       | {\"sql\":\"SELECT 1\"}      | 103",
        "read-0   | local-key-0 | Session-Token:%%%        | {\"sql\":\"SELECT 1\"}      | 103",
        "write-0  | local-key-0 | Idempotency-Key:         | {\"sql\":\"SELECT 1\"}      | 100",
        "transactions/x/commit           | local-key-0 | - | {}                          | 106",
        "transactions/i-0~group-0~x/statement | local-key-0 | - | {\"sql\":\"SELECT 1\"}  | 106",
        "transactions/i-0~group-0~x/what | local-key-0 | - | {}                          | 102"
      })
  void invalidRequestIsRefusedWithItsResultCode(
      String route, String key, String header, String body, int code) throws Exception {
    assertThat(post(route, key, header, body).code()).isEqualTo(code);
  }

  @Test
  void sessionOfAnotherOrganisationIsRefused() throws Exception {
    CallerClient other = new CallerClient(HTTP, FleetPlan.key(1));
    assertThat(other.call(address, "read-0", "SELECT 1").code()).isZero();
    CallerAnswer answer =
        post(
            "read-0",
            FleetPlan.key(0),
            "Session-Token:" + other.session(),
            "{\"sql\":\"SELECT 1\"}");
    assertThat(answer.code()).isEqualTo(103);
  }

  @Test
  void oversizedBodyIsRefused() throws Exception {
    String body = "{\"sql\":\"" + "x".repeat(2_000_000) + "\"}";
    assertThat(post("read-0", FleetPlan.key(0), null, body).code()).isEqualTo(101);
  }

  /**
   * Guards against answers lost to a reset: a connection that is closed while the caller is still
   * sending is reset, and the caller cannot read the answer any more.
   */
  @ParameterizedTest
  @CsvSource({
    "read-0, local-key-0, Content-Length: 2000000, 101",
    "read-0, local-key-0, Transfer-Encoding: chunked, 101",
    "read-0, wrong, Content-Length: 2000000, 200",
    "nothing, local-key-0, Content-Length: 2000000, 102"
  })
  void callerThatSendsItsWholeBodyReadsTheRefusal(
      String route, String key, String framing, int code) throws Exception {
    boolean chunked = framing.startsWith("Transfer-Encoding");
    try (Socket socket = connect()) {
      socket.setSoTimeout(20_000);
      OutputStream out = socket.getOutputStream();
      out.write(ascii(head(route, key, framing)));
      if (chunked) {
        // The size of a chunked body is known only after the maximum has been received.
        for (int i = 0; i < 11; i++) {
          out.write(CHUNK);
        }
      }
      fleet.await("answer", () -> available(socket) > 0);
      if (chunked) {
        for (int i = 0; i < 9; i++) {
          out.write(CHUNK);
        }
        out.write(ascii("0\r\n\r\n"));
      } else {
        for (int i = 0; i < 20; i++) {
          out.write(new byte[100_000]);
        }
      }
      InputStream in = socket.getInputStream();
      String answer = new String(in.readNBytes(in.available()), StandardCharsets.US_ASCII);
      assertThat(answer).contains("\"code\":" + code + ",");
    }
  }

  /** Guards against refused callers that occupy a connection by sending without end. */
  @Test
  void bodyBeyondTheDiscardBoundEndsTheConnection() throws Exception {
    try (Socket socket = connect()) {
      OutputStream out = socket.getOutputStream();
      out.write(ascii(requestHead(1_000_000_000)));
      fleet.await("answer", () -> available(socket) > 0);
      byte[] part = new byte[100_000];
      assertThatThrownBy(
              () -> {
                for (int i = 0; i < 10_000; i++) {
                  out.write(part);
                }
              })
          .isInstanceOf(IOException.class);
    }
  }

  /** Guards against refused callers that occupy a connection by sending nothing. */
  @Test
  void refusedCallerThatStopsSendingIsDisconnected() throws Exception {
    try (Socket socket = connect()) {
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(ascii(requestHead(2_000_000)));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(answer).contains("\"code\":101,");
    }
    assertThat(post("read-0", FleetPlan.key(0), null, "{\"sql\":\"SELECT 1\"}").code()).isZero();
  }

  @Test
  void truncatedBodyLeavesNoRequestInFlight() throws Exception {
    for (int i = 0; i < 50; i++) {
      try (Socket socket = connect()) {
        socket.getOutputStream().write(requestHead(500).getBytes(StandardCharsets.US_ASCII));
      }
    }
    fleet.await("no requests in flight", () -> gauge("hickorydrift_requests_under_way ") == 0);
    assertThat(post("read-0", FleetPlan.key(0), null, "{\"sql\":\"SELECT 1\"}").code()).isZero();
  }

  @Test
  void incompleteBodyIsRefusedAfterTimeout() throws Exception {
    try (Socket socket = connect()) {
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write((requestHead(500) + "{").getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      String answer = new String(in.readNBytes(400), StandardCharsets.US_ASCII);
      assertThat(answer).contains("408").contains("\"code\":104");
    }
  }

  private static Socket connect() throws IOException {
    int colon = address.lastIndexOf(':');
    return new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static String requestHead(int contentLength) {
    return head("read-0", "local-key-0", "Content-Length: " + contentLength);
  }

  private static String head(String route, String key, String framing) {
    return String.format(
        "POST /v1/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
        route, key, framing);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] chunk() {
    return ascii(Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n");
  }

  private static int available(Socket socket) {
    try {
      return socket.getInputStream().available();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static double gauge(String name) {
    String text = fleet.instances().get(0).metrics().text();
    int start = text.indexOf("\n" + name) + 1 + name.length();
    return Double.parseDouble(text.substring(start, text.indexOf('\n', start)));
  }
}
