package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.scheduling.LinkWindow;
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
  private static final String LOST = "connection to home lost";
  private static final String TOO_MANY_OUTSTANDING =
      "too many statements outstanding at the home; retry in ";
  // The next home serves as soon as its connections are open, which takes tens of milliseconds
  // each; callers that return together would fill its queue.
  private static final long MIN_LOST_RETRY_MS = 150;
  private static final long LOST_RETRY_SPREAD_MS = 450;

  private final GatewayContext context;
  private final AdmissionDecision admission;
  private final SessionData session;
  private final Statement statement;
  private final long receivedNanos;
  private final Consumer<StatementOutcome> onOutcome;
  private final Route route;
  private final boolean writes;
  private final boolean byLocality;
  private int homeAttempts;
  private OutboundForwards.Forwarded forwarded;
  private boolean cancelled;

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
    byLocality = context.homes().isByLocality(route.group());
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
    final int attempt = ++homeAttempts;
    boolean counted = context.homes().isDirect(route.group());
    if (byLocality && !writes && attempt == 1) {
      context.readRetries().recordFirstAttempt(route.group());
    }
    long ageMs = ageMs();
    OutboundForwards.Forwarded added =
        home.forward(
            session.forwardMessage(
                statement,
                PeerMessage.TransactionRef.NONE,
                false,
                admission.organisation(),
                route,
                counted,
                ageMs,
                admission.allowed()),
            new OutboundForwards.Delivery(
                Math.max(0, route.statementTimeoutMs() - ageMs),
                !writes && context.homes().sendsAtOnce(route.group(), home.peer()),
                byLocality,
                route.priority()),
            new HomeListener(home.peer()));
    // A statement that ended meanwhile may have been sent to another home.
    if (attempt == homeAttempts) {
      forwarded = added;
    }
  }

  private long ageMs() {
    return TimeUnit.NANOSECONDS.toMillis(context.loop().nowNanos() - receivedNanos);
  }

  /** Cancels the statement, whose caller is gone, if it waits at this instance or at its home. */
  void cancel() {
    cancelled = true;
    if (forwarded != null) {
      forwarded.cancel();
    }
  }

  private final class HomeListener implements OutboundForwards.Listener {
    private final String home;

    private HomeListener(String home) {
      this.home = home;
    }

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

    @Override
    public void refused(long retryAfterMs) {
      context.metrics().recordLinkRefusal();
      context
          .requestLog()
          .logDecision(
              statement.id(),
              "decision=refused home={} outstanding={} retry_ms={}",
              home,
              LinkWindow.MAX_OUTSTANDING,
              retryAfterMs);
      fail(FailureCode.BUSY, TOO_MANY_OUTSTANDING + retryAfterMs + " ms");
    }

    @Override
    public void tooLarge() {
      fail(FailureCode.TOO_LARGE, OutboundForwards.TOO_LARGE_REASON);
    }
  }

  /** Retries a read once at the next home. A write is in doubt: it may have taken effect. */
  private void homeLost() {
    if (writes) {
      fail(FailureCode.IN_DOUBT, LOST);
    } else if (!byLocality) {
      retryAtNextHome(FailureCode.FAILED, LOST);
    } else if (mayRetry() && context.readRetries().tryRetry(route.group(), "home_lost")) {
      retryAtNextHome(FailureCode.BUSY, LOST + retryAfterLoss());
    } else {
      // A read has no effect, so that its caller may repeat it as if it had not run.
      fail(FailureCode.BUSY, LOST + retryAfterLoss());
    }
  }

  private boolean mayRetry() {
    return !cancelled && homeAttempts < MAX_HOME_ATTEMPTS && ageMs() < route.statementTimeoutMs();
  }

  /** Returns a retry delay that spreads the callers of a lost home over time. */
  private String retryAfterLoss() {
    double hash = Rendezvous.unitHash(statement.id(), "lost");
    return "; retry in " + Math.round(MIN_LOST_RETRY_MS + LOST_RETRY_SPREAD_MS * hash) + " ms";
  }

  private void retryAtNextHome(FailureCode code, String reason) {
    boolean mayRetry = mayRetry();
    OutboundPeerLink next = mayRetry ? selectHome() : null;
    if (next != null) {
      runAt(next);
    } else if (mayRetry && byLocality) {
      runHereInstead(code, reason);
    } else {
      fail(code, reason);
    }
  }

  /** Runs the statement as the next home; only a home counts it against the rate limit. */
  private void runHereInstead(FailureCode code, String reason) {
    context
        .limits()
        .request(
            admission.organisation(),
            route.priority(),
            new OrganisationRateLimiter.Listener() {
              @Override
              public void admitted() {
                if (cancelled) {
                  fail(code, reason);
                } else {
                  runLocally();
                }
              }

              @Override
              public void refused(String refusal) {
                fail(FailureCode.BUSY, refusal);
              }
            });
  }

  private void fail(FailureCode code, String reason) {
    onOutcome.accept(StatementOutcome.failed(code, reason, SessionState.IDLE));
  }
}
