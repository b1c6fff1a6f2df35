package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.scheduling.LinkWindow;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A transaction that runs at its group's home. All its statements go to the home of the first one,
 * over the same connection.
 *
 * <p>Invariant: the home rolls back the transactions that are open on a connection when it closes.
 * So a transaction has ended once the connection of its first statement is lost, even if the link
 * has been opened again since; it is reported as rolled back only if no commit was sent. Thread
 * safety: confined to the loop's thread.
 */
final class RemoteTransaction implements OpenTransaction {
  private static final int MAX_HOME_ATTEMPTS = 1;
  private static final String LOST = "connection to home lost";

  private final EventLoop loop;
  private final HomeRouter homes;
  private final Route route;
  private final String organisation;
  private final SessionData session;
  private final boolean readOnly;
  private final Runnable onRefused;
  private OutboundPeerLink link;
  private OutboundForwards.Forwarded forwarded;
  // Of the connection that carries the transaction.
  private long connectionNumber;
  private long transactionNumber;
  private boolean begun;
  private boolean wrote;
  private int homeAttempts;
  private boolean ended;
  private boolean running;
  private long lastUsedNanos;

  RemoteTransaction(
      EventLoop loop,
      HomeRouter homes,
      OperationScope scope,
      SessionData session,
      boolean readOnly,
      Runnable onRefused) {
    this.loop = loop;
    this.homes = homes;
    route = scope.route();
    organisation = scope.organisation();
    this.session = session;
    this.readOnly = readOnly;
    this.onRefused = onRefused;
    lastUsedNanos = loop.nowNanos();
  }

  @Override
  public void run(
      Statement next,
      AllowedRegions allowed,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome) {
    boolean commit = next.kind() == StatementKind.COMMIT;
    SessionState after = commit ? SessionState.IDLE : SessionState.FAILED;
    if (link == null) {
      boolean needsPrimary = SingleStatement.needsPrimary(route, !readOnly);
      selectLink(homes.remoteLink(route.group(), needsPrimary, allowed));
    }
    if (begun && hasLostConnection()) {
      onOutcome.accept(StatementOutcome.failed(FailureCode.ABORTED, LOST, after));
      return;
    }
    if (link == null || !link.isUp()) {
      onOutcome.accept(homeUnreachable(after));
      return;
    }
    if (!homes.maySeeText(link.peer(), allowed)) {
      onOutcome.accept(
          StatementOutcome.failed(FailureCode.ABORTED, "home is not in an allowed region", after));
      return;
    }
    running = true;
    boolean counted = homes.isDirect(route.group());
    long ageMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - receivedNanos);
    int attempt = homeAttempts;
    OutboundForwards.Delivery delivery =
        new OutboundForwards.Delivery(
            route.statementTimeoutMs(),
            begun && !commit && homes.sendsAtOnce(route.group(), link.peer()),
            homes.isByLocality(route.group()),
            begun ? LinkWindow.OPEN_TRANSACTION : route.priority());
    OutboundForwards.Listener listener =
        new OutboundForwards.Listener() {
          @Override
          public void answered(StatementOutcome outcome) {
            begun = true;
            wrote |= !commit && session.writes(next);
            end(settle(commit, outcome), onOutcome);
          }

          @Override
          public void lost() {
            wrote |= !commit && session.writes(next);
            end(connectionLost(commit, after), onOutcome);
          }

          @Override
          public void notSent() {
            if (begun || ended || homeAttempts >= MAX_HOME_ATTEMPTS) {
              end(homeUnreachable(after), onOutcome);
              return;
            }
            homeAttempts++;
            link = null;
            RemoteTransaction.this.run(next, allowed, receivedNanos, onOutcome);
          }

          @Override
          public void refused(long retryAfterMs) {
            onRefused.run();
            end(tooManyOutstanding(after, retryAfterMs), onOutcome);
          }

          @Override
          public void tooLarge() {
            end(
                StatementOutcome.failed(
                    FailureCode.TOO_LARGE, OutboundForwards.TOO_LARGE_REASON, after),
                onOutcome);
          }
        };
    OutboundForwards.Forwarded added =
        link.forward(
            session.forwardMessage(
                next,
                new PeerMessage.TransactionRef(transactionNumber, begun),
                readOnly,
                organisation,
                route,
                counted,
                ageMs,
                allowed),
            delivery,
            listener);
    // A statement that ended meanwhile may have been sent to another home.
    if (attempt == homeAttempts) {
      forwarded = added;
    }
  }

  private void selectLink(OutboundPeerLink selected) {
    link = selected;
    if (selected != null) {
      connectionNumber = selected.connectionNumber();
      transactionNumber = selected.nextTransactionNumber();
    }
  }

  private boolean hasLostConnection() {
    return link.connectionNumber() != connectionNumber;
  }

  /** Nothing was sent, so that an open transaction is rolled back and a new one did not begin. */
  private StatementOutcome tooManyOutstanding(SessionState after, long retryAfterMs) {
    return StatementOutcome.failed(
        begun ? FailureCode.ABORTED : FailureCode.BUSY,
        "too many statements outstanding at the home; retry in " + retryAfterMs + " ms",
        after);
  }

  private void end(StatementOutcome outcome, Consumer<StatementOutcome> onOutcome) {
    running = false;
    lastUsedNanos = loop.nowNanos();
    if (!ended) {
      onOutcome.accept(outcome);
    }
  }

  private static StatementOutcome homeUnreachable(SessionState after) {
    return StatementOutcome.failed(FailureCode.ABORTED, "home unreachable; retry in 500 ms", after);
  }

  private StatementOutcome connectionLost(boolean commit, SessionState after) {
    if (!commit) {
      return StatementOutcome.failed(FailureCode.ABORTED, LOST, after);
    }
    FailureCode code = wrote ? FailureCode.IN_DOUBT : FailureCode.FAILED;
    return StatementOutcome.failed(code, LOST, after);
  }

  private StatementOutcome settle(boolean commit, StatementOutcome outcome) {
    if (commit && outcome.failure() == null && wrote) {
      session.recordCommit(route.group(), outcome.position());
    }
    return outcome;
  }

  @Override
  public void rollback() {
    ended = true;
    if (forwarded != null) {
      // Sent after the end of the transaction, a statement would begin another one.
      forwarded.drop();
    }
    if (link != null && !hasLostConnection()) {
      link.send(new PeerMessage.EndTransaction(transactionNumber));
    }
  }

  @Override
  public long lastUsedNanos() {
    return running ? loop.nowNanos() : lastUsedNanos;
  }
}
