package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A write outside a transaction. It is retried only if the target reported that it did not run.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class WriteExecution implements TargetSearch.Listener, RunningForwards.Execution {
  // A connection idle for longer may be dead. It is probed first, since a write that gets no answer
  // is in doubt.
  private static final long MAX_IDLE_NANOS = 200_000_000L;
  private static final long PROBE_TIMEOUT_NANOS = 250_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final String organisation;
  private final SessionData session;
  private final Statement statement;
  private final Consumer<StatementOutcome> onOutcome;
  private final TargetSearch search;
  private final long deadlineNanos;

  WriteExecution(
      GatewayContext context,
      OperationScope scope,
      SessionData session,
      Statement statement,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome) {
    this.context = context;
    route = scope.route();
    organisation = scope.organisation();
    this.session = session;
    this.statement = statement;
    this.onOutcome = onOutcome;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    search = new TargetSearch(context, scope, statement.id(), false, null, receivedNanos, this);
  }

  void start() {
    search.tryNext();
  }

  @Override
  public boolean cancel() {
    return search.cancel();
  }

  @Override
  public void found(TargetConnection connection, Position atLeast) {
    if (connection.mayMistakeFailure()) {
      // A write whose failure cannot be told from an earlier one would be in doubt.
      connection.close("an earlier failure may be repeated");
      search.attemptFailed("connection replaced");
      return;
    }
    if (connection.mayMistakeRowsOfWrite()) {
      search.exchangeForWrite(connection, atLeast);
      return;
    }
    long nowNanos = context.loop().nowNanos();
    if (nowNanos - connection.lastReceivedNanos() < MAX_IDLE_NANOS) {
      write(connection);
      return;
    }
    connection.probe(
        nowNanos + PROBE_TIMEOUT_NANOS,
        reply -> {
          if (reply.ok()) {
            write(connection);
          } else {
            context.pool(connection.target()).release(connection);
            search.attemptFailed("connection probe failed");
          }
        });
  }

  private void write(TargetConnection connection) {
    if (!search.tryTake(connection)) {
      return;
    }
    TargetState target = connection.target();
    target.recordSent();
    connection.run(
        session.prepareCommand(statement, ExpectedAnswer.WRITE, connection, null, deadlineNanos),
        deadlineNanos,
        reply -> {
          target.recordAnswered(context.loop().nowNanos() - reply.sentNanos());
          context.outcomes().record(target, reply);
          context.pool(target).release(connection);
          answered(target, reply);
        });
  }

  private void answered(TargetState target, TargetReply reply) {
    if (reply.ok()) {
      context.acknowledge(reply, route.group(), organisation, session, deadlineNanos, onOutcome);
      return;
    }
    context
        .requestLog()
        .logDecision(
            statement.id(),
            "decision=write_failed target={} code={} reason=\"{}\"",
            target.entry().id(),
            reply.failure(),
            reply.text());
    if (reply.lost()) {
      end(FailureCode.IN_DOUBT, reply.text());
    } else if (reply.failure().hasNoEffect()) {
      search.attemptFailed(String.valueOf(reply.failure()));
    } else {
      end(reply.failure(), reply.text());
    }
  }

  private void end(FailureCode code, String reason) {
    onOutcome.accept(StatementOutcome.failed(code, reason, SessionState.IDLE));
  }

  @Override
  public void exhausted(String reason) {
    end(FailureCode.BUSY, reason);
  }
}
