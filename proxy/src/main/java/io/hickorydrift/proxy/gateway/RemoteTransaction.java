package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.function.Consumer;

/**
 * A transaction that runs at its group's home. It stays with the home of its first statement.
 *
 * <p>Invariant: a lost link promises that nothing is kept only if no commit was sent over it; the
 * home rolls back what was open on a link that ends. Thread safety: confined to the loop's thread.
 */
final class RemoteTransaction implements OpenTransaction {
  private final EventLoop loop;
  private final HomeRouter homes;
  private final Route route;
  private final String organisation;
  private final SessionData session;
  private final boolean readOnly;
  private OutboundPeerLink link;
  private long number;
  private boolean wrote;
  private boolean ended;
  private boolean running;
  private long usedNanos;

  RemoteTransaction(
      EventLoop loop,
      HomeRouter homes,
      Route route,
      String organisation,
      SessionData session,
      boolean readOnly) {
    this.loop = loop;
    this.homes = homes;
    this.route = route;
    this.organisation = organisation;
    this.session = session;
    this.readOnly = readOnly;
    usedNanos = loop.nowNanos();
  }

  @Override
  public void run(Statement next, long receivedNanos, Consumer<StatementOutcome> onResult) {
    boolean commit = next.kind() == StatementKind.COMMIT;
    SessionState after = commit ? SessionState.IDLE : SessionState.FAILED;
    if (link == null) {
      link = homes.remoteLink(route.group(), !readOnly);
      number = link == null ? 0 : link.nextTransactionNumber();
    }
    if (link == null || !link.isUp()) {
      onResult.accept(
          StatementOutcome.failed(FailureCode.ABORTED, "home is lost; come back in 500 ms", after));
      return;
    }
    wrote |= !commit && session.writes(next);
    running = true;
    boolean counted = homes.isDirect(route.group());
    boolean sent =
        link.forward(
            session.forwardMessage(next, number, readOnly, organisation, route, counted),
            route.statementTimeoutMs(),
            outcome -> {
              running = false;
              usedNanos = loop.nowNanos();
              if (!ended) {
                onResult.accept(outcome == null ? lost(commit, after) : settled(commit, outcome));
              }
            });
    if (!sent) {
      running = false;
      onResult.accept(
          StatementOutcome.failed(FailureCode.ABORTED, "home is lost; come back in 500 ms", after));
    }
  }

  private StatementOutcome lost(boolean commit, SessionState after) {
    if (!commit) {
      return StatementOutcome.failed(FailureCode.ABORTED, "home is lost", after);
    }
    FailureCode code = wrote ? FailureCode.IN_DOUBT : FailureCode.FAILED;
    return StatementOutcome.failed(code, "home is lost", after);
  }

  private StatementOutcome settled(boolean commit, StatementOutcome outcome) {
    if (commit && outcome.failure() == null && wrote) {
      session.recordCommit(route.group(), outcome.position());
    }
    return outcome;
  }

  @Override
  public void rollback() {
    ended = true;
    if (link != null) {
      link.send(new PeerMessage.EndTransaction(number));
    }
  }

  @Override
  public long lastUsedNanos() {
    return running ? loop.nowNanos() : usedNanos;
  }
}
