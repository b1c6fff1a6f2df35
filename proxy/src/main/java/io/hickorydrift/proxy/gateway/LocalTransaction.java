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
 * A caller's transaction that this instance runs at a target. The target's transaction begins with
 * the first statement and holds one connection until it ends.
 *
 * <p>Invariant: once a commit was sent, an outcome reports the transaction as rolled back only if
 * the target reported so. Thread safety: confined to the loop's thread.
 */
final class LocalTransaction implements TargetSearch.Listener, OpenTransaction {
  private static final long ATTEMPT_TIMEOUT_NANOS = 350_000_000L;
  private static final long BUSY_RETRY_DELAY_MS = 10;
  private static final String ENDED_IDLE =
      "transaction was idle while others waited for its connection and was rolled back";

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
  private boolean endedIdle;
  private Statement statement;
  private long deadlineNanos;
  private Consumer<StatementOutcome> onOutcome;
  private long lastUsedNanos;

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
    lastUsedNanos = begunNanos;
  }

  /** Replaces the session state by the one that the next forwarded statement carried. */
  void updateSession(SessionData current) {
    session = current;
  }

  @Override
  public long lastUsedNanos() {
    return onOutcome != null ? context.loop().nowNanos() : lastUsedNanos;
  }

  @Override
  public void run(Statement next, long receivedNanos, Consumer<StatementOutcome> onResult) {
    if (endedIdle) {
      onResult.accept(StatementOutcome.failed(FailureCode.ABORTED, ENDED_IDLE, stateAfter(next)));
      return;
    }
    statement = next;
    onOutcome = onResult;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    if (connection != null) {
      send();
      return;
    }
    Position lastCommit = session.lastCommit(route.group());
    search =
        new TargetSearch(
            context, route, organisation, next.id(), readOnly, lastCommit, receivedNanos, this);
    search.tryNext();
  }

  @Override
  public void found(TargetConnection found, Position atLeast) {
    long attemptDeadlineNanos = context.loop().nowNanos() + ATTEMPT_TIMEOUT_NANOS;
    found.run(
        new TargetCommand.Begin(atLeast != null, atLeast),
        attemptDeadlineNanos - deadlineNanos < 0 ? attemptDeadlineNanos : deadlineNanos,
        reply -> begun(found, atLeast, reply));
  }

  private void begun(TargetConnection found, Position atLeast, TargetReply reply) {
    if (!reply.ok()) {
      context.pool(found.target()).release(found);
      search.attemptFailed("begin failed: " + reply.failure());
      return;
    }
    if (atLeast == null) {
      context.recordPrimaryPosition(context.directory().group(route.group()), reply);
    }
    connection = found;
    context.pool(found.target()).held().add(found, this);
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
      complete(StatementOutcome.of(reply, SessionState.IN_TRANSACTION));
      return;
    }
    boolean retry =
        reply.failure() != null
            && reply.failure().hasNoEffect()
            && reply.state() == SessionState.IN_TRANSACTION
            && context.loop().nowNanos() - deadlineNanos < 0
            && !ended;
    if (retry) {
      context.loop().after(BUSY_RETRY_DELAY_MS, this::resend);
      return;
    }
    logFailure(reply);
    complete(failedStatement(reply));
  }

  private StatementOutcome failedStatement(TargetReply reply) {
    finish();
    boolean mayHaveEffect = reply.failure() != null && !reply.failure().hasNoEffect();
    FailureCode code = mayHaveEffect ? reply.failure() : FailureCode.ABORTED;
    return StatementOutcome.failed(code, reply.text(), SessionState.FAILED);
  }

  private void resend() {
    if (!ended && onOutcome != null) {
      send();
    }
  }

  private void committed(TargetReply reply) {
    if (reply.ok()) {
      finish();
      if (wrote) {
        context.acknowledge(
            reply, route.group(), organisation, session, deadlineNanos, this::complete);
      } else {
        complete(StatementOutcome.of(reply, SessionState.IDLE));
      }
      return;
    }
    boolean hasNoEffect = reply.failure() != null && reply.failure().hasNoEffect();
    if (hasNoEffect && reply.state() == SessionState.IN_TRANSACTION && !ended) {
      if (context.loop().nowNanos() - deadlineNanos < 0) {
        context.loop().after(BUSY_RETRY_DELAY_MS, this::resend);
        return;
      }
    }
    logFailure(reply);
    finish();
    FailureCode code = reply.failure();
    if (reply.lost()) {
      code = wrote ? FailureCode.IN_DOUBT : FailureCode.FAILED;
    } else if (hasNoEffect) {
      code = FailureCode.ABORTED;
    }
    complete(StatementOutcome.failed(code, reply.text(), SessionState.IDLE));
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
    complete(StatementOutcome.failed(FailureCode.BUSY, reason, stateAfter(statement)));
  }

  private static SessionState stateAfter(Statement failed) {
    return failed.kind() == StatementKind.COMMIT ? SessionState.IDLE : SessionState.FAILED;
  }

  private void complete(StatementOutcome outcome) {
    lastUsedNanos = context.loop().nowNanos();
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

  /**
   * Rolls the transaction back because it is idle and others wait for its connection. Its next
   * statement is told so. Has no effect while a statement runs.
   */
  void endIdle() {
    if (onOutcome == null && !ended) {
      endedIdle = true;
      finish();
    }
  }

  /**
   * Ends the transaction and releases its connection; rolls back a transaction that is still open
   * at the target.
   */
  private void finish() {
    ended = true;
    if (connection == null) {
      return;
    }
    TargetConnection used = connection;
    connection = null;
    TargetPool pool = context.pool(used.target());
    pool.held().remove(used);
    if (!used.isOpen() || used.state() == SessionState.IDLE && !used.hasPendingCommands()) {
      pool.release(used);
    } else if (used.hasPendingCommands()) {
      used.close("transaction ended with a statement in flight");
    } else {
      used.run(
          new TargetCommand.Rollback(),
          context.loop().nowNanos() + ATTEMPT_TIMEOUT_NANOS,
          reply -> pool.release(used));
    }
  }
}
