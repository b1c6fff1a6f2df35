package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.statement.TargetCommand;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller's transaction. The target's begins with its first statement and keeps one connection
 * from there to the end.
 *
 * <p>Invariant: once a commit was sent, no outcome promises that nothing is kept, unless the target
 * said so. Thread safety: confined to the loop's thread.
 */
final class LocalTransaction implements TargetSearch.Listener, OpenTransaction {
  private static final long ATTEMPT_NANOS = 350_000_000L;
  private static final long BUSY_PAUSE_MS = 10;

  private final GatewayContext context;
  private final Route route;
  private final String organisation;
  private SessionData session;
  private final boolean readOnly;
  private final long begunNanos;
  private TargetSearch search;
  private TargetConnection connection;
  private boolean wrote;
  private boolean ended;
  private Statement statement;
  private long deadlineNanos;
  private Consumer<StatementOutcome> onOutcome;
  private long usedNanos;

  LocalTransaction(
      GatewayContext context,
      Route route,
      String organisation,
      SessionData session,
      boolean readOnly,
      long begunNanos) {
    this.context = context;
    this.route = route;
    this.organisation = organisation;
    this.session = session;
    this.readOnly = readOnly;
    this.begunNanos = begunNanos;
    usedNanos = begunNanos;
  }

  /** Takes the session as it stands with the next statement. */
  void updateSession(SessionData current) {
    session = current;
  }

  @Override
  public long lastUsedNanos() {
    return onOutcome != null ? context.loop().nowNanos() : usedNanos;
  }

  @Override
  public void run(Statement next, long receivedNanos, Consumer<StatementOutcome> onResult) {
    statement = next;
    onOutcome = onResult;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    if (connection != null) {
      send();
      return;
    }
    Position own = session.lastCommit(route.group());
    search = new TargetSearch(context, route, organisation, readOnly, own, receivedNanos, this);
    search.tryNext();
  }

  @Override
  public void found(TargetConnection found, Position atLeast) {
    long untilNanos = context.loop().nowNanos() + ATTEMPT_NANOS;
    found.run(
        new TargetCommand.Begin(atLeast != null, atLeast),
        untilNanos - deadlineNanos < 0 ? untilNanos : deadlineNanos,
        reply -> begun(found, atLeast, reply));
  }

  private void begun(TargetConnection found, Position atLeast, TargetReply reply) {
    if (!reply.ok()) {
      context.pool(found.target()).release(found);
      search.attemptFailed("begin: " + reply.failure());
      return;
    }
    if (atLeast == null) {
      context.recordPrimaryPosition(context.directory().group(route.group()), reply);
    }
    connection = found;
    if (ended) {
      finish();
      return;
    }
    send();
  }

  private void send() {
    TargetState target = connection.target();
    boolean commit = statement.kind() == StatementKind.COMMIT;
    wrote |= !commit && session.writes(statement);
    target.recordSent();
    TargetCommand command =
        commit
            ? new TargetCommand.Run(statement.id(), statement.text(), null)
            : session.prepareCommand(statement, connection, null, deadlineNanos);
    connection.run(
        command,
        deadlineNanos,
        reply -> {
          target.recordAnswered(context.loop().nowNanos() - reply.sentNanos());
          if (ended) {
            return;
          }
          if (commit) {
            committed(reply);
          } else {
            answered(reply);
          }
        });
  }

  private void answered(TargetReply reply) {
    if (reply.ok()) {
      end(StatementOutcome.of(reply, SessionState.IN_TRANSACTION));
      return;
    }
    boolean again =
        reply.failure() != null
            && reply.failure().hasNoEffect()
            && reply.state() == SessionState.IN_TRANSACTION
            && context.loop().nowNanos() - deadlineNanos < 0
            && !ended;
    if (again) {
      context.loop().after(BUSY_PAUSE_MS, this::sendAgain);
      return;
    }
    logFailure(reply);
    end(failedStatement(reply));
  }

  private StatementOutcome failedStatement(TargetReply reply) {
    finish();
    boolean ran = reply.failure() != null && !reply.failure().hasNoEffect();
    FailureCode code = ran ? reply.failure() : FailureCode.ABORTED;
    return StatementOutcome.failed(code, reply.text(), SessionState.FAILED);
  }

  private void sendAgain() {
    if (!ended && onOutcome != null) {
      send();
    }
  }

  private void committed(TargetReply reply) {
    if (reply.ok()) {
      finish();
      if (wrote) {
        context.acknowledge(reply, route.group(), organisation, session, deadlineNanos, this::end);
      } else {
        end(StatementOutcome.of(reply, SessionState.IDLE));
      }
      return;
    }
    boolean notRun = reply.failure() != null && reply.failure().hasNoEffect();
    if (notRun && reply.state() == SessionState.IN_TRANSACTION && !ended) {
      if (context.loop().nowNanos() - deadlineNanos < 0) {
        context.loop().after(BUSY_PAUSE_MS, this::sendAgain);
        return;
      }
    }
    logFailure(reply);
    finish();
    FailureCode code = reply.failure();
    if (reply.lost()) {
      code = wrote ? FailureCode.IN_DOUBT : FailureCode.FAILED;
    } else if (notRun) {
      code = FailureCode.ABORTED;
    }
    end(StatementOutcome.failed(code, reply.text(), SessionState.IDLE));
  }

  private void logFailure(TargetReply reply) {
    context
        .requestLog()
        .logDecision(
            statement.id(),
            "decision=transaction_failed kind={} target={} code={} reason=\"{}\"",
            statement.kind(),
            connection.target().entry().id(),
            reply.failure(),
            reply.text());
  }

  @Override
  public void exhausted(String reason) {
    boolean commit = statement.kind() == StatementKind.COMMIT;
    end(
        StatementOutcome.failed(
            FailureCode.BUSY, reason, commit ? SessionState.IDLE : SessionState.FAILED));
  }

  private void end(StatementOutcome outcome) {
    usedNanos = context.loop().nowNanos();
    Consumer<StatementOutcome> listener = onOutcome;
    onOutcome = null;
    if (listener != null) {
      listener.accept(outcome);
    }
  }

  @Override
  public void rollback() {
    onOutcome = null;
    finish();
  }

  private void finish() {
    ended = true;
    if (connection == null) {
      return;
    }
    TargetConnection used = connection;
    connection = null;
    TargetPool pool = context.pool(used.target());
    if (!used.isOpen() || used.state() == SessionState.IDLE && !used.hasPendingCommands()) {
      pool.release(used);
    } else if (used.hasPendingCommands()) {
      used.close("transaction abandoned");
    } else {
      used.run(
          new TargetCommand.Rollback(),
          context.loop().nowNanos() + ATTEMPT_NANOS,
          reply -> pool.release(used));
    }
  }
}
