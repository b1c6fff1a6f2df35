package io.hickorydrift.proxy.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.standin.target.TargetOptions;
import io.hickorydrift.standin.target.TargetStandin;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What instances rely on in a target, and what a connection makes of broken answers. */
class TargetContractTest {
  private static final long TIMEOUT_MS = 1_000;
  private static final String ORGANISATION = "o";

  private final Map<String, TargetStandin> targets = new LinkedHashMap<>();
  private HttpClient client;
  private TargetConnector connector;

  @BeforeEach
  void start() throws Exception {
    client = new HttpClient();
    client.start();
    connector = new HttpTargetConnector(client);
    Map<String, String> addresses = new LinkedHashMap<>();
    for (String id : List.of("a", "b", "c")) {
      TargetOptions options =
          TargetOptions.builder().id(id).maxConnections(id.equals("c") ? 4 : 20).build();
      targets.put(id, new TargetStandin(options).start());
      addresses.put(id, targets.get(id).address());
    }
    targets.values().forEach(target -> target.setPeers(addresses));
  }

  @AfterEach
  void stop() throws Exception {
    targets.values().forEach(TargetStandin::close);
    client.stop();
  }

  private TargetConnection open(String id) {
    return connector.open(targets.get(id).address()).join();
  }

  private static TargetRequest.Builder request(TargetOp op, long term) {
    return TargetRequest.builder().op(op).term(term).organisation(ORGANISATION).params(List.of());
  }

  private static TargetAnswer ask(TargetConnection connection, TargetRequest.Builder request) {
    return connection.exchange(request.build(), TIMEOUT_MS).join();
  }

  private static TargetStatus status(TargetConnection connection, TargetRequest.Builder request) {
    return ask(connection, request).status();
  }

  private void promote(String id, long term, String... fenced) {
    for (String target : fenced) {
      assertThat(status(open(target), request(TargetOp.FENCE, term))).isEqualTo(TargetStatus.OK);
    }
    assertThat(status(open(id), request(TargetOp.PROMOTE, term))).isEqualTo(TargetStatus.OK);
  }

  private static TargetRequest.Builder write(long term, String id, String sql) {
    return request(TargetOp.WRITE, term).requestId(id).sql(sql);
  }

  private TargetAnswer await(String id, Position position, long term) {
    TargetConnection connection = open(id);
    TargetAnswer answer = null;
    for (int i = 0; i < 50 && (answer == null || answer.logged().term() < term); i++) {
      answer = ask(connection, request(TargetOp.AWAIT, term).position(position).waitMs(100));
    }
    connection.close();
    return answer;
  }

  @Test
  void statementsOfAnotherTermAreRefused() {
    promote("a", 3, "a", "b");
    TargetConnection connection = open("a");
    assertThat(status(connection, write(2, "x", "CREATE TABLE t (n INT)")))
        .isEqualTo(TargetStatus.WRONG_TERM);
    assertThat(status(connection, request(TargetOp.READ, 4).sql("SELECT 1")))
        .isEqualTo(TargetStatus.WRONG_TERM);
    assertThat(status(connection, request(TargetOp.FENCE, 2))).isEqualTo(TargetStatus.WRONG_TERM);
    assertThat(status(connection, request(TargetOp.PROMOTE, 9))).isEqualTo(TargetStatus.WRONG_TERM);
  }

  @Test
  void replicaLogsWhatThePrimaryWrites() {
    promote("a", 1, "a", "b");
    Position written = ask(open("a"), write(1, "x", "CREATE TABLE t (n INT)")).position();
    assertThat(await("b", written, 1).logged()).isEqualTo(written);
    assertThat(status(open("b"), write(1, "y", "DROP TABLE t")))
        .isEqualTo(TargetStatus.NOT_PRIMARY);
  }

  @Test
  void requestIdTakesEffectOnceAlsoOnTheNextPrimary() {
    promote("a", 1, "a", "b");
    TargetConnection first = open("a");
    ask(first, write(1, "create", "CREATE TABLE t (n INT)"));
    Position written = ask(first, write(1, "id", "INSERT INTO t VALUES (1)")).position();
    assertThat(ask(first, write(1, "id", "INSERT INTO t VALUES (1)")).duplicate()).isTrue();
    await("b", written, 1);
    promote("b", 2, "b", "c");
    TargetAnswer again = ask(open("b"), write(2, "id", "INSERT INTO t VALUES (1)"));
    assertThat(again.duplicate()).isTrue();
    assertThat(again.updateCount()).isEqualTo(1);
  }

  @Test
  void fencedPrimaryCommitsNothingMore() {
    promote("a", 1, "a", "b");
    TargetConnection old = open("a");
    ask(old, write(1, "create", "CREATE TABLE t (n INT)"));
    ask(old, request(TargetOp.BEGIN, 1));
    ask(old, request(TargetOp.STATEMENT, 1).sql("INSERT INTO t VALUES (1)"));
    assertThat(status(open("a"), request(TargetOp.FENCE, 2))).isEqualTo(TargetStatus.OK);
    assertThat(status(old, request(TargetOp.COMMIT, 1).requestId("tx")))
        .isEqualTo(TargetStatus.NO_TRANSACTION);
  }

  @Test
  void entriesThatWereNeverConfirmedGiveWayToTheNextPrimarys() {
    promote("a", 1, "a", "b", "c");
    Position created = ask(open("a"), write(1, "create", "CREATE TABLE t (n INT)")).position();
    await("b", created, 1);
    await("c", created, 1);
    targets.get("a").setPeers(Map.of());
    ask(open("a"), write(1, "lost", "INSERT INTO t VALUES (1)"));
    promote("b", 2, "b", "c");
    Position kept = ask(open("b"), write(2, "kept", "INSERT INTO t VALUES (2)")).position();
    TargetAnswer rejoined = await("a", kept, 2);
    assertThat(rejoined.logged()).isEqualTo(kept);
    assertThat(targets.get("a").loggedRequestIds()).containsExactly("o/create", "o/kept");
  }

  @Test
  void closedConnectionRollsItsTransactionBack() {
    promote("a", 1, "a", "b");
    ask(open("a"), write(1, "create", "CREATE TABLE t (n INT PRIMARY KEY)"));
    TargetConnection connection = open("a");
    ask(connection, request(TargetOp.BEGIN, 1));
    ask(connection, request(TargetOp.STATEMENT, 1).sql("INSERT INTO t VALUES (1)"));
    connection.close();
    TargetAnswer free = null;
    for (int i = 0; i < 20 && (free == null || free.status() != TargetStatus.OK); i++) {
      free = ask(open("a"), write(1, "w" + i, "INSERT INTO t VALUES (1)"));
    }
    assertThat(free.status()).isEqualTo(TargetStatus.OK);
  }

  @Test
  void connectionsOverTheLimitAreRefused() {
    for (int i = 0; i < 4; i++) {
      assertThat(status(open("c"), request(TargetOp.STATUS, 0))).isEqualTo(TargetStatus.OK);
    }
    assertThat(status(open("c"), request(TargetOp.STATUS, 0)))
        .isEqualTo(TargetStatus.TOO_MANY_CONNECTIONS);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "another exchange | HTTP/1.1 200 OK\\r\\nContent-Length: 36\\r\\n\\r\\n"
            + "{\"exchangeId\":9999999,\"status\":\"OK\"}",
        "cut short        | HTTP/1.1 200 OK\\r\\nContent-Length: 99\\r\\n\\r\\n{\"exchangeId\":1",
        "not JSON         | HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\nabc",
        "no status        | HTTP/1.1 200 OK\\r\\nContent-Length: 16\\r\\n\\r\\n{\"exchangeId\":1}",
        "server error     | HTTP/1.1 500 Oops\\r\\nContent-Length: 0\\r\\n\\r\\n",
        "not HTTP         | hello\\r\\n\\r\\n",
        "nothing          | ``"
      })
  void brokenAnswerFailsAndRetiresTheConnection(String name, String bytes) throws IOException {
    String answer = bytes.replace("\\r\\n", "\r\n");
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Thread thread = new Thread(() -> answerOnce(server, answer));
      thread.setDaemon(true);
      thread.start();
      TargetConnection connection = connector.open("127.0.0.1:" + server.getLocalPort()).join();
      assertThatThrownBy(() -> ask(connection, request(TargetOp.STATUS, 0)))
          .as(name)
          .isInstanceOf(CompletionException.class)
          .hasCauseInstanceOf(TargetException.class);
      assertThat(connection.usable()).isFalse();
    }
  }

  private static void answerOnce(ServerSocket server, String answer) {
    try (Socket socket = server.accept()) {
      InputStream in = socket.getInputStream();
      in.read(new byte[8_192]);
      socket.getOutputStream().write(answer.getBytes());
      socket.getOutputStream().flush();
      if (answer.isEmpty()) {
        in.read();
      }
    } catch (IOException e) {
      Thread.currentThread().interrupt();
    }
  }
}
