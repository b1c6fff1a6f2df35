package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A read outside a transaction. It may be run again elsewhere until its time is over.
 *
 * <p>Invariant: runs only on a log with the position asked for, or inside a transaction that a
 * target begins only while it leads. Thread safety: confined to the loop's thread.
 */
final class ReadExecution implements TargetSearch.Listener {
  // An answer that takes several times as long as usual may be lost; another target is asked then.
  private static final double SLOW_FACTOR = 5;
  private static final long MIN_SLOW_MS = 120;
  private static final long MAX_SLOW_MS = 400;
  private static final int MAX_RUNNING = 3;

  // About the time in which a full queue gets room.
  private static final long BUSY_NANOS = 60_000_000L;
  private static final long SILENT_NANOS = 300_000_000L;
  private static final double NANOS_PER_MS = 1e6;
  private static final long ROLLBACK_NANOS = 350_000_000L;
  // A replica that is behind stays so for about its usual lag.
  private static final long LAGGING_NANOS = 100_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final SessionData session;
  private final Statement statement;
  private final Consumer<StatementOutcome> onOutcome;
  private final TargetSearch search;
  private final long deadlineNanos;
  private TargetReply lastFailure;
  private TargetState lastTarget;
  private int running;
  private boolean searching;
  private boolean over;

  ReadExecution(
      GatewayContext context,
      Route route,
      String organisation,
      SessionData session,
      Statement statement,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome) {
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
            session.lastCommit(route.group()),
            receivedNanos,
            this);
  }

  void start() {
    context.directory().group(route.group()).retryBudget().deposit();
    searching = true;
    search.tryNext();
  }

  @Override
  public void found(TargetConnection connection, Position atLeast) {
    if (over) {
      context.pool(connection.target()).release(connection);
      return;
    }
    if (atLeast != null) {
      read(connection, atLeast, false);
      return;
    }
    connection.run(
        new TargetCommand.Begin(false, null),
        deadlineNanos,
        reply -> {
          if (reply.ok()) {
            context.recordPrimaryPosition(context.directory().group(route.group()), reply);
            read(connection, null, true);
          } else {
            context.pool(connection.target()).release(connection);
            search.attemptFailed("primary does not lead: " + reply.text());
          }
        });
  }

  private void read(TargetConnection connection, Position atLeast, boolean wrapped) {
    TargetState target = connection.target();
    target.recordSent();
    running++;
    lastTarget = target;
    searching = false;
    EventLoop.Timer slow = context.loop().after(slowMs(target), this::slow);
    connection.run(
        session.prepareCommand(statement, connection, atLeast, deadlineNanos),
        deadlineNanos,
        reply -> {
          slow.cancel();
          running--;
          target.recordAnswered(context.loop().nowNanos() - reply.sentNanos());
          if (wrapped && !reply.lost()) {
            connection.run(
                new TargetCommand.Rollback(),
                context.loop().nowNanos() + ROLLBACK_NANOS,
                end -> context.pool(target).release(connection));
          } else {
            context.pool(target).release(connection);
          }
          answered(target, reply);
        });
  }

  private static long slowMs(TargetState target) {
    long usualMs = (long) (target.averageAnswerNanos() * SLOW_FACTOR / NANOS_PER_MS);
    return Math.max(MIN_SLOW_MS, Math.min(MAX_SLOW_MS, usualMs));
  }

  private void avoidSilent() {
    long nowNanos = context.loop().nowNanos();
    if (!context.pool(lastTarget).receivedSince(nowNanos - MIN_SLOW_MS * (long) NANOS_PER_MS)) {
      lastTarget.avoidUntil(nowNanos + SILENT_NANOS);
    }
  }

  /** Asks another target as well; the first answer counts. */
  private void slow() {
    if (running > 0 && !over) {
      avoidSilent();
    }
    boolean wanted = !over && !searching && running < MAX_RUNNING;
    if (wanted && context.directory().group(route.group()).retryBudget().tryWithdraw()) {
      searching = true;
      search.attemptFailed("slow answer");
    }
  }

  private void answered(TargetState target, TargetReply reply) {
    if (over) {
      return;
    }
    if (reply.ok()) {
      over = true;
      onOutcome.accept(StatementOutcome.of(reply, SessionState.IDLE));
      return;
    }
    lastFailure = reply;
    if (reply.failedFor(FailureCode.LAGGING)) {
      target.avoidUntil(context.loop().nowNanos() + LAGGING_NANOS);
    } else if (reply.failedFor(FailureCode.BUSY)) {
      target.avoidUntil(context.loop().nowNanos() + BUSY_NANOS);
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
      searching = true;
      search.attemptFailed(reply.lost() ? "no answer" : String.valueOf(reply.failure()));
    }
  }

  @Override
  public void exhausted(String reason) {
    searching = false;
    if (over || running > 0) {
      return;
    }
    over = true;
    FailureCode code = FailureCode.BUSY;
    if (lastFailure != null && (lastFailure.lost() || !lastFailure.failure().hasNoEffect())) {
      code = FailureCode.FAILED;
    }
    onOutcome.accept(StatementOutcome.failed(code, reason, SessionState.IDLE));
  }
}
