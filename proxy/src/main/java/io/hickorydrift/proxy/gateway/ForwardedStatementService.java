package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.StatementKind;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Runs statements that other instances forward, and counts their operations.
 *
 * <p>Invariant: transactions of a link end with it. Thread safety: confined to the loop's thread.
 */
final class ForwardedStatementService {
  private final GatewayContext context;
  private final Map<InboundPeerLink, Map<Long, LocalTransaction>> transactions = new HashMap<>();

  ForwardedStatementService(GatewayContext context) {
    this.context = context;
  }

  /** Runs a forwarded statement and answers on {@code server}. */
  void run(InboundPeerLink server, PeerMessage.Forward forward) {
    long receivedNanos = context.loop().nowNanos();
    context.homes().recordServed(forward.route().group());
    Consumer<StatementOutcome> answer =
        outcome -> server.send(new PeerMessage.Result(forward.correlation(), outcome));
    SessionData session = SessionData.of(forward);
    LocalTransaction open = transactionOf(server, forward.transaction());
    if (open != null) {
      runIn(open, server, forward, receivedNanos, session, answer);
      return;
    }
    if (forward.counted()) {
      admit(server, forward, receivedNanos, session, answer);
      return;
    }
    context
        .limits()
        .request(
            forward.organisation(),
            new OrganisationRateLimiter.Listener() {
              @Override
              public void admitted() {
                admit(server, forward, receivedNanos, session, answer);
              }

              @Override
              public void refused(long retryAfterMs) {
                answer.accept(
                    StatementOutcome.failed(
                        FailureCode.BUSY,
                        "rate used up; come back in " + retryAfterMs + " ms",
                        afterRefusal(forward)));
              }
            });
  }

  private static SessionState afterRefusal(PeerMessage.Forward forward) {
    boolean inTransaction =
        forward.transaction() != 0 && forward.statement().kind() != StatementKind.COMMIT;
    return inTransaction ? SessionState.FAILED : SessionState.IDLE;
  }

  private LocalTransaction transactionOf(InboundPeerLink server, long number) {
    Map<Long, LocalTransaction> open = transactions.get(server);
    return open == null || number == 0 ? null : open.get(number);
  }

  private void admit(
      InboundPeerLink server,
      PeerMessage.Forward forward,
      long receivedNanos,
      SessionData session,
      Consumer<StatementOutcome> answer) {
    if (forward.transaction() != 0) {
      LocalTransaction begun =
          new LocalTransaction(
              context,
              forward.route(),
              forward.organisation(),
              session,
              forward.readOnly(),
              receivedNanos);
      transactions
          .computeIfAbsent(server, key -> new HashMap<>())
          .put(forward.transaction(), begun);
      runIn(begun, server, forward, receivedNanos, session, answer);
    } else if (session.writes(forward.statement())) {
      new WriteExecution(
              context,
              forward.route(),
              forward.organisation(),
              session,
              forward.statement(),
              receivedNanos,
              answer)
          .start();
    } else {
      new ReadExecution(
              context,
              forward.route(),
              forward.organisation(),
              session,
              forward.statement(),
              receivedNanos,
              answer)
          .start();
    }
  }

  private void runIn(
      LocalTransaction open,
      InboundPeerLink server,
      PeerMessage.Forward forward,
      long receivedNanos,
      SessionData session,
      Consumer<StatementOutcome> answer) {
    open.updateSession(session);
    open.run(
        forward.statement(),
        receivedNanos,
        outcome -> {
          if (outcome.state() != SessionState.IN_TRANSACTION) {
            endTransaction(server, forward.transaction());
          }
          answer.accept(outcome);
        });
  }

  /** Rolls back what is open of a transaction. */
  void endTransaction(InboundPeerLink server, long number) {
    Map<Long, LocalTransaction> open = transactions.get(server);
    LocalTransaction ended = open == null ? null : open.remove(number);
    if (ended != null) {
      ended.rollback();
    }
  }

  /** Rolls back all that was open on a link that is gone. */
  void onLinkClosed(InboundPeerLink server) {
    Map<Long, LocalTransaction> open = transactions.remove(server);
    if (open != null) {
      open.values().forEach(LocalTransaction::rollback);
    }
  }
}
