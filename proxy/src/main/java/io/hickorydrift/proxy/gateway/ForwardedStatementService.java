package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.StatementKind;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs the statements that peers forward to this instance, and counts their operations.
 *
 * <p>Invariant: the transactions of a link are rolled back when it closes; only the first statement
 * of a transaction begins one at a target. Thread safety: confined to the loop's thread.
 */
final class ForwardedStatementService {
  private static final String RESULT_TOO_LARGE = "result is too large to be sent by the home";

  private final GatewayContext context;
  private final RunningForwards running;
  private final Map<InboundPeerLink, Map<Long, LocalTransaction>> transactions = new HashMap<>();

  ForwardedStatementService(GatewayContext context) {
    this.context = context;
    running = new RunningForwards(context.metrics()::recordCancelled);
  }

  /** Runs a forwarded statement and sends its outcome on {@code link}. */
  void run(InboundPeerLink link, PeerMessage.Forward forward) {
    long receivedNanos = context.loop().nowNanos() - ageNanos(forward);
    context.homes().recordServed(forward.route().group());
    RunningForwards.Running statement = running.add(link, forward);
    Consumer<StatementOutcome> onOutcome =
        outcome -> {
          running.remove(statement);
          link.send(new PeerMessage.Result(forward.correlation(), limited(link, forward, outcome)));
        };
    SessionData session = SessionData.of(forward);
    LocalTransaction open = findTransaction(link, forward.transaction().number());
    if (open != null) {
      running.remove(statement);
      runInTransaction(open, link, forward, receivedNanos, session, onOutcome);
      return;
    }
    if (forward.transaction().begun()) {
      refuseUnknownTransaction(link, forward, onOutcome);
      return;
    }
    if (forward.counted()) {
      runAdmitted(link, forward, receivedNanos, session, statement, onOutcome);
      return;
    }
    context
        .limits()
        .request(
            forward.organisation(),
            forward.route().priority(),
            new OrganisationRateLimiter.Listener() {
              @Override
              public void admitted() {
                if (!statement.isCancelled()) {
                  runAdmitted(link, forward, receivedNanos, session, statement, onOutcome);
                }
              }

              @Override
              public void refused(String reason) {
                if (statement.isCancelled()) {
                  return;
                }
                onOutcome.accept(
                    StatementOutcome.failed(FailureCode.BUSY, reason, stateAfterRefusal(forward)));
              }
            });
  }

  /**
   * Answers a statement of a transaction that has ended here. Its commit cannot have run: a sender
   * sends nothing of a transaction after its commit.
   */
  private void refuseUnknownTransaction(
      InboundPeerLink link, PeerMessage.Forward forward, Consumer<StatementOutcome> onOutcome) {
    context
        .requestLog()
        .logDecision(
            forward.statement().id(),
            "decision=transaction_unknown peer={} transaction={} kind={}",
            link.peer(),
            forward.transaction().number(),
            forward.statement().kind());
    onOutcome.accept(
        StatementOutcome.failed(
            FailureCode.ABORTED,
            "transaction has ended at the home and was rolled back",
            stateAfterRefusal(forward)));
  }

  /** Returns the age of a statement, within the time that its sender still waits for it. */
  private static long ageNanos(PeerMessage.Forward forward) {
    long ageMs = Math.max(0, Math.min(forward.ageMs(), forward.route().statementTimeoutMs()));
    return TimeUnit.MILLISECONDS.toNanos(ageMs);
  }

  private static SessionState stateAfterRefusal(PeerMessage.Forward forward) {
    boolean inTransaction =
        forward.transaction().number() != 0 && forward.statement().kind() != StatementKind.COMMIT;
    return inTransaction ? SessionState.FAILED : SessionState.IDLE;
  }

  private LocalTransaction findTransaction(InboundPeerLink link, long number) {
    Map<Long, LocalTransaction> open = transactions.get(link);
    return open == null || number == 0 ? null : open.get(number);
  }

  private void runAdmitted(
      InboundPeerLink link,
      PeerMessage.Forward forward,
      long receivedNanos,
      SessionData session,
      RunningForwards.Running statement,
      Consumer<StatementOutcome> onOutcome) {
    if (forward.transaction().number() != 0) {
      statement.begin(() -> false);
      LocalTransaction transaction =
          new LocalTransaction(
              context, OperationScope.of(forward), session, forward.readOnly(), receivedNanos);
      transactions
          .computeIfAbsent(link, key -> new HashMap<>())
          .put(forward.transaction().number(), transaction);
      runInTransaction(transaction, link, forward, receivedNanos, session, onOutcome);
    } else if (session.writes(forward.statement())) {
      WriteExecution execution =
          new WriteExecution(
              context,
              OperationScope.of(forward),
              session,
              forward.statement(),
              receivedNanos,
              onOutcome);
      statement.begin(execution);
      execution.start();
    } else {
      ReadExecution execution =
          new ReadExecution(
              context,
              OperationScope.of(forward),
              session,
              forward.statement(),
              receivedNanos,
              onOutcome);
      statement.begin(execution);
      execution.start();
    }
  }

  private void runInTransaction(
      LocalTransaction open,
      InboundPeerLink link,
      PeerMessage.Forward forward,
      long receivedNanos,
      SessionData session,
      Consumer<StatementOutcome> onOutcome) {
    open.updateSession(session);
    open.run(
        forward.statement(),
        forward.allowed(),
        receivedNanos,
        outcome -> {
          StatementOutcome limited = limited(link, forward, outcome);
          if (limited.state() != SessionState.IN_TRANSACTION) {
            endTransaction(link, forward.transaction().number());
          }
          onOutcome.accept(limited);
        });
  }

  private static StatementOutcome limited(
      InboundPeerLink link, PeerMessage.Forward forward, StatementOutcome outcome) {
    long textLength = ForwardCodec.textLength(outcome);
    boolean fits =
        PeerMessageCodec.fits(new PeerMessage.Result(forward.correlation(), outcome), textLength);
    return fits && link.hasRoomFor(textLength) ? outcome : inPlaceOf(outcome, forward, fits);
  }

  /**
   * Returns a failure in place of an outcome that cannot be sent now or, unless it {@code fits}
   * into a message, at all. A read has no effect, and a transaction is rolled back with it.
   */
  static StatementOutcome inPlaceOf(
      StatementOutcome outcome, PeerMessage.Forward forward, boolean fits) {
    SessionState after = stateAfterRefusal(forward);
    if (outcome.failure() != null) {
      return StatementOutcome.failed(outcome.failure(), "failed at the target", after);
    }
    if (after == SessionState.IDLE && mayHaveWritten(forward)) {
      return StatementOutcome.failed(FailureCode.IN_DOUBT, RESULT_TOO_LARGE, after);
    }
    return fits
        ? StatementOutcome.failed(FailureCode.BUSY, "link is busy; retry in 100 ms", after)
        : StatementOutcome.failed(FailureCode.TOO_LARGE, RESULT_TOO_LARGE, after);
  }

  private static boolean mayHaveWritten(PeerMessage.Forward forward) {
    return forward.statement().kind() == StatementKind.COMMIT
        || SessionData.of(forward).writes(forward.statement());
  }

  /** Cancels a statement if none of it was sent to a target. */
  void cancel(InboundPeerLink link, long correlation) {
    running.cancel(
        link, correlation, outcome -> link.send(new PeerMessage.Result(correlation, outcome)));
  }

  /** Rolls back a transaction if it is still open. */
  void endTransaction(InboundPeerLink link, long number) {
    running.cancelTransaction(link, number);
    Map<Long, LocalTransaction> open = transactions.get(link);
    LocalTransaction ended = open == null ? null : open.remove(number);
    if (ended != null) {
      ended.rollback();
    }
  }

  /** Rolls back the open transactions of a closed link. */
  void onLinkClosed(InboundPeerLink link) {
    running.cancelAll(link);
    Map<Long, LocalTransaction> open = transactions.remove(link);
    if (open != null) {
      open.values().forEach(LocalTransaction::rollback);
    }
  }
}
