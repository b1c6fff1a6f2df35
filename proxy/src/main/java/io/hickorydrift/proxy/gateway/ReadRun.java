package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.TargetCommand;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A read outside a transaction. It may be run again elsewhere until its time is over.
 *
 * <p>Invariant: runs only on a log with the position asked for, or inside a transaction that a
 * target begins only while it leads. Thread safety: confined to the loop's thread.
 */
final class ReadRun implements TargetSearch.Listener {
  // Far above the longest usual answer; a connection that is silent for so long is dead.
  private static final long ATTEMPT_NANOS = 350_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final SessionData session;
  private final Statement statement;
  private final Consumer<Outcome> onOutcome;
  private final TargetSearch search;
  private final long deadlineNanos;
  private Reply lastFailure;

  ReadRun(
      GatewayContext context,
      Route route,
      String organisation,
      SessionData session,
      Statement statement,
      long receivedNanos,
      Consumer<Outcome> onOutcome) {
    this.context = context;
    this.route = route;
    this.session = session;
    this.statement = statement;
    this.onOutcome = onOutcome;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    search =
        new TargetSearch(
            context,
            route,
            organisation,
            true,
            session.ownCommit(route.group()),
            receivedNanos,
            this);
  }

  void start() {
    search.next();
  }

  @Override
  public void found(TargetConnection connection, Position atLeast) {
    long attemptNanos = attemptDeadline();
    if (atLeast != null) {
      read(connection, atLeast, false);
      return;
    }
    connection.run(
        new TargetCommand.Begin(false, null),
        attemptNanos,
        reply -> {
          if (reply.ok()) {
            context.sighted(context.directory().group(route.group()), reply);
            read(connection, null, true);
          } else {
            context.pool(connection.target()).release(connection);
            search.failed("primary does not lead: " + reply.text());
          }
        });
  }

  private long attemptDeadline() {
    long untilNanos = context.loop().nowNanos() + ATTEMPT_NANOS;
    return untilNanos - deadlineNanos < 0 ? untilNanos : deadlineNanos;
  }

  private void read(TargetConnection connection, Position atLeast, boolean wrapped) {
    long attemptNanos = attemptDeadline();
    TargetState target = connection.target();
    target.sent();
    connection.run(
        session.command(statement, connection, atLeast, attemptNanos),
        attemptNanos,
        reply -> {
          target.answered(context.loop().nowNanos() - reply.sentNanos());
          if (wrapped && !reply.lost()) {
            connection.run(
                new TargetCommand.Rollback(),
                attemptDeadline(),
                end -> context.pool(target).release(connection));
          } else {
            context.pool(target).release(connection);
          }
          answered(target, reply);
        });
  }

  private void answered(TargetState target, Reply reply) {
    if (reply.ok()) {
      onOutcome.accept(Outcome.of(reply, SessionState.IDLE));
      return;
    }
    lastFailure = reply;
    context
        .log()
        .decided(
            statement.id(),
            "decision=read_again target={} code={} reason=\"{}\"",
            target.entry().id(),
            reply.failure(),
            reply.text());
    search.failed(reply.lost() ? "no answer" : String.valueOf(reply.failure()));
  }

  @Override
  public void exhausted(String reason) {
    FailureCode code = FailureCode.BUSY;
    if (lastFailure != null && (lastFailure.lost() || !lastFailure.failure().notRun())) {
      code = FailureCode.FAILED;
    }
    onOutcome.accept(Outcome.failed(code, reason, SessionState.IDLE));
  }
}
