package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.ExpectedAnswer;
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
  private static final String HAS_ENDED = "transaction has ended and was rolled back";
  private static final String CONNECTION_LOST = "connection to the target lost";
  private static final String EVACUATED = "the target's failure domain is evacuated";
  private static final String ENDED_IDLE =
      "transaction was idle while others waited for its connection and was rolled back";
  // A statement and the commit.
  private static final int REQUESTS_AT_ONCE = 2;

  private final GatewayContext context;
  private final Route route;
  private final String organisation;
  private SessionData session;
  private final boolean readOnly;
  private final long begunNanos;
  private TargetSearch search;
  private TargetConnection connection;
  // Whether a request was counted at takenNanos for the first statement.
  private boolean taken;
  private long takenNanos;
  private boolean wrote;
  private boolean commitSent;
  private boolean ended;
  // Why the transaction was rolled back, once it has ended.
  private String abortReason = HAS_ENDED;
  private Statement statement;
  private long deadlineNanos;
  private Consumer<StatementOutcome> onOutcome;
  private long lastUsedNanos;

  LocalTransaction(
      GatewayContext context,
      OperationScope scope,
      SessionData session,
      boolean readOnly,
      long begunNanos) {
    this.context = context;
    route = scope.route();
    organisation = scope.organisation();
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
  public void run(
      Statement next,
      AllowedRegions allowed,
      long receivedNanos,
      Consumer<StatementOutcome> onResult) {
    statement = next;
    onOutcome = onResult;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    if (ended) {
      // Only the first statement begins a transaction at a target.
      completeAborted(abortReason);
      return;
    }
    if (connection != null) {
      sendIfAllowed(allowed);
      return;
    }
    Position lastCommit = session.lastCommit(route.group());
    OperationScope scope = new OperationScope(route, organisation, allowed);
    search = new TargetSearch(context, scope, next.id(), readOnly, lastCommit, receivedNanos, this);
    search.tryNext();
  }

  /** Sends the statement unless a new declaration no longer allows the region of the target. */
  private void sendIfAllowed(AllowedRegions allowed) {
    if (!connection.isOpen()) {
      // Nothing of the statement was sent; the target has rolled back what was open.
      abort(CONNECTION_LOST);
      return;
    }
    if (allowed.allowsTarget(context.regionOf(connection.target()))) {
      send();
      return;
    }
    abort(TargetSearch.NO_ALLOWED_TARGET);
  }

  @Override
  public int requestsAtOnce() {
    return REQUESTS_AT_ONCE;
  }

  @Override
  public void found(TargetConnection found, Position atLeast) {
    if (!readOnly && found.mayMistakeRowsOfWrite()) {
      search.exchangeForWrite(found, atLeast);
      return;
    }
    if (!search.tryTake(found)) {
      return;
    }
    taken = true;
    takenNanos = context.loop().nowNanos();
    long attemptDeadlineNanos = context.loop().nowNanos() + ATTEMPT_TIMEOUT_NANOS;
    found.run(
        new TargetCommand.Begin(atLeast != null, atLeast),
        attemptDeadlineNanos - deadlineNanos < 0 ? attemptDeadlineNanos : deadlineNanos,
        reply -> begun(found, atLeast, reply));
  }

  private void begun(TargetConnection found, Position atLeast, TargetReply reply) {
    if (!reply.ok()) {
      context.outcomes().record(found.target(), reply);
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
    context.evacuations().onBegun(this);
    send();
  }

  /**
   * Sends the statement after the session values. A commit is sent only once the target has set
   * them: of one that was sent and whose connection is then closed, the outcome is unknown.
   */
  private void send() {
    if (statement.kind() == StatementKind.COMMIT) {
      connection.applySessionValues(session.values(), deadlineNanos, this::sendCommit);
    } else {
      wrote |= session.writes(statement);
      sendStatement();
    }
  }

  private void sendCommit() {
    if (ended) {
      return;
    }
    if (!connection.isOpen()) {
      abort(CONNECTION_LOST);
      return;
    }
    commitSent = true;
    sendStatement();
  }

  private void sendStatement() {
    TargetState target = connection.target();
    boolean commit = statement.kind() == StatementKind.COMMIT;
    target.recordSent();
    countRequest(target);
    connection.run(
        session.prepareCommand(statement, expectedAnswer(), connection, null, deadlineNanos),
        deadlineNanos,
        reply -> {
          target.recordAnswered(context.loop().nowNanos() - reply.sentNanos());
          if (ended) {
            return;
          }
          context.outcomes().record(target, reply);
          if (commit) {
            committed(reply);
          } else {
            answered(reply);
          }
        });
  }

  private ExpectedAnswer expectedAnswer() {
    if (statement.kind() == StatementKind.COMMIT) {
      return wrote ? ExpectedAnswer.COMMIT_OF_WRITES : ExpectedAnswer.COMMIT_OF_READS;
    }
    return session.writes(statement) ? ExpectedAnswer.WRITE_IN_TRANSACTION : ExpectedAnswer.READ;
  }

  private void countRequest(TargetState target) {
    if (taken) {
      context.warmUps().move(target, takenNanos);
      taken = false;
    } else {
      context.warmUps().record(target);
    }
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
            && mayResend();
    if (retry) {
      context.loop().after(BUSY_RETRY_DELAY_MS, this::resend);
      return;
    }
    logFailure(reply);
    complete(failedStatement(reply));
  }

  private boolean mayResend() {
    return !ended
        && context.loop().nowNanos() - deadlineNanos < 0
        && !context.evacuations().isClosedTo(connection.target());
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
    if (hasNoEffect && reply.state() == SessionState.IN_TRANSACTION && mayResend()) {
      context.loop().after(BUSY_RETRY_DELAY_MS, this::resend);
      return;
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

  /** Returns the target at which the transaction is open, or null. */
  TargetState target() {
    return connection == null ? null : connection.target();
  }

  /**
   * Ends the transaction because its target's failure domain is evacuated, unless its commit was
   * sent and is not answered yet. Returns whether it did.
   */
  boolean abortForEvacuation() {
    boolean committing = onOutcome != null && commitSent && connection.hasPendingCommands();
    if (committing) {
      return false;
    }
    abortReason = EVACUATED;
    finish();
    if (onOutcome != null) {
      completeAborted(EVACUATED);
    }
    return true;
  }

  private void abort(String reason) {
    finish();
    completeAborted(reason);
  }

  private void completeAborted(String reason) {
    complete(StatementOutcome.failed(FailureCode.ABORTED, reason, stateAfter(statement)));
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
    if (connection == null && search != null && context.homes().usesLocality(route.group())) {
      // Nobody waits for the first statement any more.
      search.cancel();
    }
    finish();
  }

  /**
   * Rolls the transaction back because it is idle and others wait for its connection. Its next
   * statement is told so. Has no effect while a statement runs.
   */
  void endIdle() {
    if (onOutcome == null && !ended) {
      abortReason = ENDED_IDLE;
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
    context.evacuations().onEnded(this);
    TargetConnection used = connection;
    connection = null;
    TargetPool pool = context.pool(used.target());
    pool.held().remove(used);
    if (!used.isOpen() || used.state() == SessionState.IDLE && !used.hasPendingCommands()) {
      pool.release(used);
    } else if (used.hasPendingCommands() || context.evacuations().isClosedTo(used.target())) {
      // The target rolls back what is open on a connection that closes.
      used.close("transaction ended");
    } else {
      used.run(
          new TargetCommand.Rollback(),
          context.loop().nowNanos() + ATTEMPT_TIMEOUT_NANOS,
          reply -> pool.release(used));
    }
  }
}
