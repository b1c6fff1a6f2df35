package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.bench.FreePorts;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.net.OutBuffer;
import io.hickorydrift.proxy.net.TcpListener;
import io.hickorydrift.proxy.port.TargetCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a position of an earlier answer that counts as the target's present one. */
class RepeatedReportTest {
  private static final int MAX_ITERATIONS = 3_000;
  private static final long TIMEOUT_NANOS = 2_000_000_000L;
  private static final SessionState I = SessionState.IDLE;
  private static final SessionState T = SessionState.IN_TRANSACTION;
  private static final TargetMessage OWN = new TargetMessage.Complete("-", false);

  private final EventLoop loop = new EventLoop(new ManualTime());
  // What the target sends for each command, in their order.
  private final ArrayDeque<List<TargetMessage>> script = new ArrayDeque<>();
  private final ArrayDeque<TargetMessage> incoming = new ArrayDeque<>();
  private final ScriptCodec codec = new ScriptCodec();
  private TargetState target;
  private TargetConnection connection;

  /** Sends one octet for each command, which the target sends back. */
  private final class ScriptCodec implements TargetCodec {
    @Override
    public void writeOpen(OutBuffer out, String group, String organisation, String id) {
      incoming.add(end(I, 5));
      out.octet('o');
    }

    @Override
    public void writeCommand(OutBuffer out, TargetCommand command) {
      incoming.addAll(script.remove());
      out.octet('c');
    }

    @Override
    public TargetMessage decode(ByteBuffer in) {
      in.position(in.limit());
      return incoming.poll();
    }

    @Override
    public boolean mayCompleteMessage(ByteBuffer received) {
      return true;
    }

    @Override
    public TargetReport decodeReport(String row) {
      return new TargetReport(false, 3, new Position(3, Long.parseLong(row)), 0, 0, 0, 1);
    }
  }

  private static TargetMessage row(String text) {
    return new TargetMessage.Row(text);
  }

  private static TargetMessage end(SessionState state, long index) {
    return new TargetMessage.Ready(state, new Position(3, index));
  }

  @BeforeEach
  void open() throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel ->
            new ChannelHandler() {
              @Override
              public void received(ByteBuffer in) {
                while (in.hasRemaining()) {
                  channel.out().octet(in.get());
                }
              }

              @Override
              public void closed(String reason) {}
            });
    Directory directory = new Directory(removed -> {});
    directory.put(
        new TargetEntry("t0", "pg1", address, "zone-0", 4, false, true, 1, 1), StorePosition.NONE);
    target = directory.primaryOf("pg1");
    TargetPool pool =
        new TargetPool(
            loop,
            codec,
            target,
            () -> 2,
            () -> false,
            (priority, waited, predicted) -> {},
            AnswerObserver.NONE);
    pool.acquire(
        "red",
        loop.nowNanos() + TIMEOUT_NANOS,
        new AcquireListener() {
          @Override
          public void acquired(TargetConnection acquired) {
            connection = acquired;
          }

          @Override
          public void refused(String reason) {
            throw new AssertionError(reason);
          }
        });
    runUntil(() -> connection != null);
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < MAX_ITERATIONS && !condition.getAsBoolean(); i++) {
      loop.runOnce(0);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private void answer(TargetMessage... messages) {
    script.add(Arrays.asList(messages));
  }

  private TargetReply run(TargetCommand command) throws IOException {
    List<TargetReply> replies = new ArrayList<>();
    connection.run(command, loop.nowNanos() + TIMEOUT_NANOS, replies::add);
    runUntil(() -> !replies.isEmpty());
    return replies.get(0);
  }

  private TargetReport requestNewReport() throws IOException {
    List<TargetReport> reports = new ArrayList<>();
    new TargetPools(loop, codec, null, null)
        .requestCurrentReport(
            connection, new TargetCommand.Report(), loop.nowNanos() + TIMEOUT_NANOS, reports::add);
    runUntil(() -> !reports.isEmpty());
    return reports.get(0);
  }

  /** Guards against reads of replicas that lack commits made since the earlier begin. */
  @Test
  void beginThatIsConfirmedHasThePositionOfItsReport() throws IOException {
    target.recordRepeatedAnswer();
    answer(OWN, end(T, 5));
    answer(OWN, end(I, 5));
    run(new TargetCommand.Begin(false, null));
    run(new TargetCommand.Rollback());
    // The first begin's answer again, before the second one's.
    answer(OWN, end(T, 5));
    answer(OWN, end(T, 9), row("9"), OWN, end(T, 9));
    TargetReply reply = run(new TargetCommand.Begin(false, null));
    assertThat(reply.ok()).isTrue();
    assertThat(reply.position()).isEqualTo(new Position(3, 9));
  }

  /** Guards against the promotion of a target whose log lacks commits that another one holds. */
  @Test
  void reportThatMayBeRepeatedIsNoneForSurvey() throws IOException {
    target.recordRepeatedAnswer();
    answer(row("5"), OWN, end(I, 5));
    answer(row("5"), OWN, end(I, 5));
    assertThat(requestNewReport().received()).isEqualTo(new Position(3, 5));
    assertThat(requestNewReport()).isNull();
    assertThat(connection.isOpen()).isFalse();
  }

  @Test
  void equalReportOfTargetThatRepeatsNothingCounts() throws IOException {
    answer(row("5"), OWN, end(I, 5));
    answer(row("5"), OWN, end(I, 5));
    requestNewReport();
    assertThat(requestNewReport().received()).isEqualTo(new Position(3, 5));
    assertThat(connection.isOpen()).isTrue();
  }

  /** Guards against a statement that runs outside its transaction behind a refused begin. */
  @Test
  void beginThatIsRefusedBehindTheFirstRepeatOfTargetIsNotDone() throws IOException {
    answer(OWN, end(T, 5));
    answer(OWN, end(I, 5));
    run(new TargetCommand.Begin(true, null));
    run(new TargetCommand.Rollback());
    TargetMessage refusal = new TargetMessage.Failure(FailureCode.LAGGING, "t0");
    answer(OWN, end(T, 5), refusal, end(I, 5));
    // What confirms the begin, which the target answers later.
    answer();
    assertThat(run(new TargetCommand.Begin(true, new Position(3, 9))).ok()).isFalse();
  }
}
