package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An admitted statement outside a transaction. Runs it at this instance or at its group's home.
 *
 * <p>Invariant: a write is sent to one home at most. Thread safety: confined to the loop's thread.
 */
final class SingleStatement {
  private static final int MAX_HOME_ATTEMPTS = 2;

  private final GatewayContext context;
  private final AdmissionDecision admission;
  private final SessionData session;
  private final Statement statement;
  private final long receivedNanos;
  private final Consumer<StatementOutcome> onOutcome;
  private final Route route;
  private final boolean writes;
  private int homeAttempts;

  SingleStatement(
      GatewayContext context,
      AdmissionDecision admission,
      SessionData session,
      Statement statement,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome) {
    this.context = context;
    this.admission = admission;
    this.session = session;
    this.statement = statement;
    this.receivedNanos = receivedNanos;
    this.onOutcome = onOutcome;
    route = admission.route();
    writes = session.writes(statement);
  }

  /** Returns whether only the primary may run a statement on {@code route}. */
  static boolean needsPrimary(Route route, boolean writes) {
    return writes || route.consistency() == Consistency.PRIMARY;
  }

  void start() {
    OutboundPeerLink home = selectHome();
    if (home != null) {
      runAt(home);
    } else {
      runLocally();
    }
  }

  private OutboundPeerLink selectHome() {
    return context
        .homes()
        .remoteLink(route.group(), needsPrimary(route, writes), admission.allowed());
  }

  private void runLocally() {
    context.homes().recordServed(route.group());
    OperationScope scope = new OperationScope(route, admission.organisation(), admission.allowed());
    if (writes) {
      new WriteExecution(context, scope, session, statement, receivedNanos, onOutcome).start();
    } else {
      new ReadExecution(context, scope, session, statement, receivedNanos, onOutcome).start();
    }
  }

  private void runAt(OutboundPeerLink home) {
    homeAttempts++;
    boolean counted = context.homes().isDirect(route.group());
    long ageMs = TimeUnit.NANOSECONDS.toMillis(context.loop().nowNanos() - receivedNanos);
    home.forward(
        session.forwardMessage(
            statement,
            0,
            false,
            admission.organisation(),
            route,
            counted,
            ageMs,
            admission.allowed()),
        Math.max(0, route.statementTimeoutMs() - ageMs),
        !writes && context.homes().isInOtherRegion(home.peer()),
        new OutboundPeerLink.ForwardListener() {
          @Override
          public void answered(StatementOutcome outcome) {
            if (outcome.failure() == null && writes) {
              session.recordCommit(route.group(), outcome.position());
            }
            onOutcome.accept(outcome);
          }

          @Override
          public void lost() {
            homeLost();
          }

          @Override
          public void notSent() {
            retryAtNextHome(FailureCode.BUSY, "home unreachable; retry in 300 ms");
          }
        });
  }

  /** Retries a read once at the next home. A write is in doubt: it may have taken effect. */
  private void homeLost() {
    if (writes) {
      fail(FailureCode.IN_DOUBT, "connection to home lost");
    } else {
      retryAtNextHome(FailureCode.FAILED, "connection to home lost");
    }
  }

  private void retryAtNextHome(FailureCode code, String reason) {
    OutboundPeerLink next = selectHome();
    long ageMs = TimeUnit.NANOSECONDS.toMillis(context.loop().nowNanos() - receivedNanos);
    boolean inTime = ageMs < route.statementTimeoutMs();
    if (next != null && homeAttempts < MAX_HOME_ATTEMPTS && inTime) {
      runAt(next);
    } else {
      fail(code, reason);
    }
  }

  private void fail(FailureCode code, String reason) {
    onOutcome.accept(StatementOutcome.failed(code, reason, SessionState.IDLE));
  }
}
