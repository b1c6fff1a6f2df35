package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A read outside a transaction. It is retried and hedged at other targets until its deadline, in
 * groups whose outcomes are recorded within the group's retry budget.
 *
 * <p>Invariant: runs only on a target whose log has reached the required position, or inside a
 * transaction that a target begins only while it is the primary. Thread safety: confined to the
 * loop's thread.
 */
final class ReadExecution implements TargetSearch.Listener, RunningForwards.Execution {
  // An answer that takes several times as long as usual may be lost; a hedged request goes to
  // another target then.
  private static final double HEDGE_DELAY_FACTOR = 5;
  private static final long MIN_HEDGE_DELAY_MS = 120;
  private static final long MAX_HEDGE_DELAY_MS = 400;
  private static final int MAX_ATTEMPTS_IN_FLIGHT = 3;

  // About the time that a full queue takes to drain enough to accept requests.
  private static final long AVOID_BUSY_NANOS = 60_000_000L;
  private static final long AVOID_UNRESPONSIVE_NANOS = 300_000_000L;
  // Shorter pauses would find the target in the same state, as in HoldPolicy.
  private static final long MIN_RETRY_MS = 100;
  private static final String BUDGET_USED_UP = "the retry budget is used up after: ";
  private static final double NANOS_PER_MS = 1e6;
  private static final long ROLLBACK_TIMEOUT_NANOS = 350_000_000L;
  // A replica that is behind remains behind for about its usual lag.
  private static final long AVOID_LAGGING_NANOS = 100_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final SessionData session;
  private final Statement statement;
  private final Consumer<StatementOutcome> onOutcome;
  private final TargetSearch search;
  private final long deadlineNanos;
  private TargetReply lastFailure;
  private TargetState lastTarget;
  private int attemptsInFlight;
  private boolean searching;
  private boolean completed;
  private String retryReason;

  ReadExecution(
      GatewayContext context,
      OperationScope scope,
      SessionData session,
      Statement statement,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome) {
    this.context = context;
    route = scope.route();
    this.session = session;
    this.statement = statement;
    this.onOutcome = onOutcome;
    deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    search =
        new TargetSearch(
            context,
            scope,
            statement.id(),
            true,
            session.lastCommit(route.group()),
            receivedNanos,
            this);
  }

  void start() {
    context.readRetries().recordFirstAttempt(route.group());
    searching = true;
    search.tryNext();
  }

  @Override
  public boolean cancel() {
    if (completed || attemptsInFlight > 0 || !search.cancel()) {
      return false;
    }
    completed = true;
    return true;
  }

  @Override
  public void found(TargetConnection connection, Position atLeast) {
    if (completed) {
      context.pool(connection.target()).release(connection);
      return;
    }
    if (!search.tryTake(connection)) {
      return;
    }
    if (atLeast != null) {
      read(connection, atLeast, false);
      return;
    }
    final long takenNanos = context.loop().nowNanos();
    connection.run(
        new TargetCommand.Begin(false, null),
        deadlineNanos,
        reply -> {
          if (completed) {
            // The session's values may have changed since the read was answered.
            release(connection, reply.ok());
          } else if (reply.ok() && !context.evacuations().isClosedTo(connection.target())) {
            context.recordPrimaryPosition(context.directory().group(route.group()), reply);
            context.warmUps().move(connection.target(), takenNanos);
            read(connection, null, true);
          } else {
            context.pool(connection.target()).release(connection);
            tryAgain(
                connection.target(),
                reply,
                "primary did not begin the transaction: " + reply.text());
          }
        });
  }

  private void read(TargetConnection connection, Position atLeast, boolean inTransaction) {
    TargetState target = connection.target();
    target.recordSent();
    attemptsInFlight++;
    lastTarget = target;
    searching = false;
    if (retryReason != null) {
      context.outcomes().recordRetry(route.group(), retryReason);
      retryReason = null;
    }
    Attempt attempt = new Attempt(target, inTransaction);
    EventLoop.Timer hedgeTimer = context.loop().after(hedgeDelayMs(target), () -> attempt.onSlow());
    connection.run(
        session.prepareCommand(statement, ExpectedAnswer.READ, connection, atLeast, deadlineNanos),
        deadlineNanos,
        reply -> {
          hedgeTimer.cancel();
          attemptsInFlight--;
          target.recordAnswered(context.loop().nowNanos() - reply.sentNanos());
          attempt.record(reply);
          release(connection, inTransaction && !reply.lost());
          answered(target, reply);
        });
  }

  /** Releases {@code connection}, after a rollback if it is in a transaction. */
  private void release(TargetConnection connection, boolean inTransaction) {
    TargetPool pool = context.pool(connection.target());
    if (inTransaction && !context.evacuations().isClosedTo(connection.target())) {
      connection.run(
          new TargetCommand.Rollback(),
          context.loop().nowNanos() + ROLLBACK_TIMEOUT_NANOS,
          reply -> pool.release(connection));
    } else {
      pool.release(connection);
    }
  }

  /** One attempt at a target. */
  private final class Attempt {
    private final TargetState target;
    private final boolean inTransaction;
    private boolean missed;
    private long missedNanos;

    private Attempt(TargetState target, boolean inTransaction) {
      this.target = target;
      this.inTransaction = inTransaction;
    }

    private void onSlow() {
      // After its begin, a read may still wait for a place in the window.
      if (!inTransaction) {
        missed = true;
        missedNanos = context.loop().nowNanos();
        context.outcomes().recordMissing(target);
      }
      hedge();
    }

    private void record(TargetReply reply) {
      if (missed) {
        context.outcomes().recordLate(target, reply, missedNanos);
      } else {
        context.outcomes().record(target, reply);
      }
    }
  }

  private long hedgeDelayMs(TargetState target) {
    if (context.outcomes().isActive(route.group())) {
      return TimeUnit.NANOSECONDS.toMillis(target.health().retryDelayNanos());
    }
    long delayMs = (long) (target.averageAnswerNanos() * HEDGE_DELAY_FACTOR / NANOS_PER_MS);
    return Math.max(MIN_HEDGE_DELAY_MS, Math.min(MAX_HEDGE_DELAY_MS, delayMs));
  }

  /** Avoids the last target if nothing was received from it within the minimum hedge delay. */
  private void avoidUnresponsive() {
    long nowNanos = context.loop().nowNanos();
    if (!context
        .pool(lastTarget)
        .receivedSince(nowNanos - MIN_HEDGE_DELAY_MS * (long) NANOS_PER_MS)) {
      lastTarget.avoidUntil(nowNanos + AVOID_UNRESPONSIVE_NANOS);
    }
  }

  /**
   * Returns whether the deadline leaves time for another attempt, as far as that was measured.
   * Other groups always try again.
   */
  private boolean leavesTime() {
    return !context.outcomes().isActive(route.group())
        || context.loop().nowNanos()
                + (long) lastTarget.health().averageAnswerNanos()
                - deadlineNanos
            < 0;
  }

  /** Sends a hedged request to another target within the retry budget; the first answer wins. */
  private void hedge() {
    if (attemptsInFlight > 0 && !completed) {
      avoidUnresponsive();
    }
    boolean allowed =
        !completed && !searching && attemptsInFlight < MAX_ATTEMPTS_IN_FLIGHT && leavesTime();
    if (allowed && context.directory().group(route.group()).retryBudget().tryWithdraw()) {
      searching = true;
      retryReason = "no_answer";
      search.attemptFailed("slow answer");
    }
  }

  private void answered(TargetState target, TargetReply reply) {
    if (completed) {
      return;
    }
    if (reply.ok()) {
      completed = true;
      onOutcome.accept(StatementOutcome.of(reply, SessionState.IDLE));
      return;
    }
    lastFailure = reply;
    if (reply.failedFor(FailureCode.LAGGING)) {
      target.avoidUntil(context.loop().nowNanos() + AVOID_LAGGING_NANOS);
    } else if (reply.failedFor(FailureCode.BUSY)) {
      target.avoidUntil(context.loop().nowNanos() + AVOID_BUSY_NANOS);
    }
    context
        .requestLog()
        .logDecision(
            statement.id(),
            "decision=read_again target={} code={} reason=\"{}\"",
            target.entry().id(),
            reply.failure(),
            reply.text());
    if (!searching) {
      retryReason =
          reply.lost() ? "lost" : String.valueOf(reply.failure()).toLowerCase(Locale.ROOT);
      tryAgain(target, reply, reply.lost() ? "no answer" : String.valueOf(reply.failure()));
    }
  }

  /** Tries the read at another target, or ends it if the retry budget is used up. */
  private void tryAgain(TargetState target, TargetReply reply, String reason) {
    if (mayTryAgain(reply)) {
      searching = true;
      search.attemptFailed(reason);
      return;
    }
    retryReason = null;
    if (!completed && attemptsInFlight == 0) {
      context.metrics().recordReadRetryRefused();
    }
    exhausted(BUDGET_USED_UP + reason + (hasRun() ? "" : retryDelay(target)));
  }

  private boolean mayTryAgain(TargetReply reply) {
    boolean late = context.loop().nowNanos() - deadlineNanos >= 0;
    return late
        || !context.outcomes().isActive(route.group())
        || !isBudgeted(reply)
        || !completed && context.directory().group(route.group()).retryBudget().tryWithdraw();
  }

  /**
   * Returns whether a retry after {@code reply} needs the budget: the statement ran, or may have
   * run, or the target has no capacity. Other refusals cost the target nothing, and depend on its
   * role or position and not on load.
   */
  private static boolean isBudgeted(TargetReply reply) {
    return !reply.ok()
        && (reply.lost() || reply.failedFor(FailureCode.BUSY) || !reply.failure().hasNoEffect());
  }

  private String retryDelay(TargetState target) {
    SearchRefusals refusals = new SearchRefusals(route, statement.id());
    long retryMs = refusals.retryAfterMs(context.pool(target), MIN_RETRY_MS);
    return "; retry in " + retryMs + " ms";
  }

  @Override
  public boolean isRepeatable() {
    return true;
  }

  @Override
  public void exhausted(String reason) {
    searching = false;
    if (completed || attemptsInFlight > 0) {
      return;
    }
    completed = true;
    FailureCode code = hasRun() ? FailureCode.FAILED : FailureCode.BUSY;
    onOutcome.accept(StatementOutcome.failed(code, reason, SessionState.IDLE));
  }

  /** Returns whether the last attempt has run, or may have. */
  private boolean hasRun() {
    return lastFailure != null && (lastFailure.lost() || !lastFailure.failure().hasNoEffect());
  }
}
