package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.PreparedNames;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.SessionSettings;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.core.statement.TextBudget;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a prepared statement that runs in another shape than its caller prepared, and
 * against state that the target and this instance see differently after a refusal.
 */
class TargetConnectionTest {
  private static final int MAX_ITERATIONS = 3_000;
  private static final long TIMEOUT_NANOS = 2_000_000_000L;

  private final EventLoop loop = new EventLoop(new ManualTime());
  private final List<TargetCommand> commands = new ArrayList<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private final Map<String, String> values = new HashMap<>();
  private final List<String> executed = new ArrayList<>();
  private final List<TargetReply> replies = new ArrayList<>();
  private Predicate<TargetCommand> refused = command -> false;
  private String reportRow = "1";
  private TargetPool pool;
  private TargetConnection connection;

  /** Sends one octet for each command, in whose order a target runs them. */
  private final class CommandCodec implements TargetCodec {
    private boolean outcomeRead;
    private boolean rowRead;
    private int handled;

    @Override
    public void writeOpen(OutBuffer out, String group, String organisation, String target) {
      commands.clear();
      handled = -1;
      out.octet('o');
    }

    @Override
    public void writeCommand(OutBuffer out, TargetCommand command) {
      commands.add(command);
      out.octet('c');
    }

    @Override
    public TargetMessage decode(ByteBuffer in) {
      if (!in.hasRemaining()) {
        return null;
      }
      boolean report = handled >= 0 && commands.get(handled) instanceof TargetCommand.Report;
      if (report && !rowRead) {
        rowRead = true;
        return new TargetMessage.Row(reportRow);
      }
      if (handled >= 0 && !outcomeRead) {
        outcomeRead = true;
        TargetCommand command = commands.get(handled);
        FailureCode failure = runAtTarget(command);
        return failure == null
            ? new TargetMessage.Complete("sig" + handled, command.expectedAnswer().isSigned())
            : new TargetMessage.Failure(failure, "refused");
      }
      outcomeRead = false;
      rowRead = false;
      handled++;
      in.get();
      return new TargetMessage.Ready(SessionState.IDLE, null);
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

  private FailureCode runAtTarget(TargetCommand command) {
    if (refused.test(command)) {
      return FailureCode.FAILED;
    }
    if (command instanceof TargetCommand.Prepare prepare) {
      prepared.put(prepare.name(), prepare.prepared());
    } else if (command instanceof TargetCommand.ClosePrepared close) {
      return prepared.remove(close.name()) == null ? FailureCode.UNKNOWN_STATEMENT : null;
    } else if (command instanceof TargetCommand.SetValue set) {
      values.put(set.name(), set.value());
    } else if (command instanceof TargetCommand.Reset) {
      prepared.clear();
      values.clear();
    } else if (command instanceof TargetCommand.Execute execute) {
      PreparedStatement statement = prepared.get(execute.name());
      if (statement == null) {
        return FailureCode.UNKNOWN_STATEMENT;
      }
      executed.add((statement.writes() ? "WRITE " : "READ ") + statement.shape());
    }
    return null;
  }

  @BeforeEach
  void openConnection() throws IOException {
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
    TargetState target = directory.primaryOf("pg1");
    pool =
        new TargetPool(
            loop,
            new CommandCodec(),
            target,
            () -> 2,
            () -> true,
            (priority, waited, predicted) -> {},
            AnswerObserver.NONE);
    pool.tick(loop.nowNanos());
    acquire();
  }

  private void acquire() throws IOException {
    long nowNanos = loop.nowNanos();
    connection = null;
    pool.acquire(
        new WaitingRequest(
            "red", 0, nowNanos, nowNanos, 100_000_000L, nowNanos + TIMEOUT_NANOS, 1_000_000L),
        TIMEOUT_NANOS,
        0.5,
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

  private static SessionData session(String name, boolean writes, String shape) {
    SessionData data = new SessionData(new SessionSettings(new TextBudget(Long.MAX_VALUE)));
    data.settings().prepare(name, writes, shape);
    return data;
  }

  private TargetReply execute(SessionData session, String name) throws IOException {
    Statement statement =
        new Statement("i1", StatementKind.EXECUTE, "EXECUTE " + name + " a1", name, "a1", false);
    long deadlineNanos = loop.nowNanos() + TIMEOUT_NANOS;
    replies.clear();
    connection.run(
        session.prepareCommand(statement, ExpectedAnswer.WRITE, connection, null, deadlineNanos),
        deadlineNanos,
        replies::add);
    runUntil(() -> !replies.isEmpty());
    return replies.get(0);
  }

  private long sent(Class<? extends TargetCommand> type) {
    return commands.stream().filter(type::isInstance).count();
  }

  @Test
  void statementOfTwoCallersWithOneNameRunsInTheShapeOfEach() throws IOException {
    execute(session("s", true, "q1"), "s");
    execute(session("s", false, "q1"), "s");
    execute(session("s", true, "q1 WRITE q1"), "s");
    assertThat(executed).containsExactly("WRITE q1", "READ q1", "WRITE q1 WRITE q1");
  }

  @Test
  void statementPreparedAgainRunsInItsNewShape() throws IOException {
    SessionData caller = session("s", true, "q1");
    execute(caller, "s");
    caller.settings().prepare("s", true, "q2");
    execute(caller, "s");
    assertThat(executed).containsExactly("WRITE q1", "WRITE q2");
  }

  @Test
  void callersWithOneContentShareItsName() throws IOException {
    execute(session("s", true, "q1"), "s");
    execute(session("other", true, "q1"), "other");
    assertThat(sent(TargetCommand.Prepare.class)).isEqualTo(1);
  }

  @Test
  void executionBehindRefusedPreparationDoesNotRun() throws IOException {
    execute(session("s", true, "q1"), "s");
    refused = TargetCommand.Prepare.class::isInstance;
    TargetReply reply = execute(session("s", true, "q2"), "s");
    assertThat(reply.failedFor(FailureCode.UNKNOWN_STATEMENT)).isTrue();
    refused = command -> false;
    assertThat(execute(session("s", true, "q2"), "s").ok()).isTrue();
    assertThat(executed).containsExactly("WRITE q1", "WRITE q2");
  }

  @Test
  void statementIsPreparedAgainAfterReset() throws IOException {
    SessionData caller = session("s", true, "q1");
    caller.settings().setValue("crew", "7");
    execute(caller, "s");
    assertThat(execute(session("s", true, "q1"), "s").ok()).isTrue();
    assertThat(sent(TargetCommand.Reset.class)).isEqualTo(1);
    assertThat(executed).containsExactly("WRITE q1", "WRITE q1");
  }

  @Test
  void statementIsPreparedAgainOnTheNextConnection() throws IOException {
    SessionData caller = session("s", true, "q1");
    execute(caller, "s");
    connection.close("lost");
    prepared.clear();
    acquire();
    assertThat(execute(caller, "s").ok()).isTrue();
    assertThat(sent(TargetCommand.Prepare.class)).isEqualTo(1);
  }

  @Test
  void namesAtTheTargetAreBounded() throws IOException {
    for (int i = 0; i <= PreparedNames.MAX_NAMES; i++) {
      execute(session("s", true, "q" + i), "s");
    }
    assertThat(prepared).hasSize(PreparedNames.MAX_NAMES);
    assertThat(sent(TargetCommand.ClosePrepared.class)).isEqualTo(1);
    assertThat(execute(session("s", true, "q0"), "s").ok()).isTrue();
    assertThat(executed).last().isEqualTo("WRITE q0");
  }

  /** Guards against values of a former caller under which the next statement would run. */
  @Test
  void connectionWhoseResetIsRefusedIsNotUsedAgain() throws IOException {
    SessionData caller = session("s", true, "q1");
    caller.settings().setValue("crew", "7");
    execute(caller, "s");
    refused = TargetCommand.Reset.class::isInstance;
    replies.clear();
    connection.probe(loop.nowNanos() + TIMEOUT_NANOS, replies::add);
    runUntil(() -> !replies.isEmpty());
    assertThat(replies.get(0).ok()).isFalse();
    assertThat(values).containsEntry("crew", "7");
    assertThat(connection.isOpen()).isFalse();
  }

  private List<TargetReport> requestCurrentReport() throws IOException {
    List<TargetReport> reports = new ArrayList<>();
    new TargetPools(loop, new CommandCodec(), null, null)
        .requestCurrentReport(
            connection, new TargetCommand.Report(), loop.nowNanos() + TIMEOUT_NANOS, reports::add);
    runUntil(() -> !reports.isEmpty());
    return reports;
  }

  /** Guards against a replica that is passed over because of an earlier report, sent again. */
  @Test
  void reportThatMayBeAnEarlierOneIsNoCurrentReport() throws IOException {
    assertThat(requestCurrentReport()).doesNotContainNull();
    acquire();
    connection.target().recordRepeatedAnswer();
    assertThat(requestCurrentReport()).containsOnlyNulls();
    assertThat(connection.isOpen()).isFalse();
    acquire();
    assertThat(requestCurrentReport()).doesNotContainNull();
  }

  /** Targets that repeat nothing report the same thing as long as nothing happens. */
  @Test
  void equalReportsOfSoundTargetAreCurrent() throws IOException {
    assertThat(requestCurrentReport()).doesNotContainNull();
    acquire();
    assertThat(requestCurrentReport()).doesNotContainNull();
    assertThat(connection.isOpen()).isTrue();
  }

  /** Guards against a new connection for each read that a sound target refuses twice. */
  @Test
  void connectionIsKeptBehindEqualRefusalsOfReads() throws IOException {
    final TargetConnection first = connection;
    refused = TargetCommand.Execute.class::isInstance;
    SessionData caller = session("s", false, "q1");
    for (int i = 0; i < 3; i++) {
      assertThat(read(caller).ok()).isFalse();
      pool.release(connection);
      runUntil(() -> pool.hasIdle("red"));
      acquire();
    }
    assertThat(connection).isSameAs(first);
    assertThat(sent(TargetCommand.Reset.class)).isEqualTo(2);
    refused = command -> false;
    assertThat(read(caller).ok()).isTrue();
  }

  private TargetReply read(SessionData session) throws IOException {
    Statement statement =
        new Statement("i1", StatementKind.EXECUTE, "EXECUTE s a1", "s", "a1", false);
    long deadlineNanos = loop.nowNanos() + TIMEOUT_NANOS;
    replies.clear();
    connection.run(
        session.prepareCommand(statement, ExpectedAnswer.READ, connection, null, deadlineNanos),
        deadlineNanos,
        replies::add);
    runUntil(() -> !replies.isEmpty());
    return replies.get(0);
  }
}
