package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.standin.target.LogEntry.LogStatement;
import io.hickorydrift.standin.target.SqlEngine.DuplicateRequestException;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs the exchanges of a target.
 *
 * <p>Invariants: a statement of another term than the target's is refused; a write commits and gets
 * its place in the log in one step, and only while this target is the primary of the statement's
 * term.
 *
 * <p>Thread safety: safe.
 */
final class ExchangeHandler {
  private static final long NANOS_PER_MS = 1_000_000L;

  private final TargetOptions options;
  private final ReplicatedLog log;
  private final StateMachine state;
  private final Map<org.eclipse.jetty.io.Connection, TargetTransaction> transactions =
      new ConcurrentHashMap<>();

  ExchangeHandler(TargetOptions options, ReplicatedLog log, StateMachine state) {
    this.options = options;
    this.log = log;
    this.state = state;
  }

  TargetAnswer handle(org.eclipse.jetty.io.Connection connection, TargetRequest request)
      throws InterruptedException {
    switch (request.op()) {
      case READ:
        return read(request);
      case WRITE:
        return write(request);
      case BEGIN:
        return begin(connection, request);
      case STATEMENT:
        return statement(connection, request);
      case COMMIT:
        return commit(connection, request);
      case ROLLBACK:
        return rollback(connection, request);
      case AWAIT:
        return await(request);
      case FENCE:
        return fence(request);
      case PROMOTE:
        return promote(request);
      default:
        return answer(request, TargetStatus.OK);
    }
  }

  /** Rolls back what a closed connection left open. */
  void rollbackOpenTransaction(org.eclipse.jetty.io.Connection connection) {
    TargetTransaction transaction = transactions.remove(connection);
    if (transaction != null) {
      transaction.rollback();
    }
  }

  private TargetAnswer read(TargetRequest request) throws InterruptedException {
    if (request.term() != log.term()) {
      return answer(request, TargetStatus.WRONG_TERM);
    }
    Position applied = state.applied();
    if (!Positions.reaches(applied, request.position())) {
      return answer(request, TargetStatus.BEHIND);
    }
    simulateStatementTime();
    SqlEngine engine = state.engine();
    try (Connection connection = engine.beginTransaction(request.organisation())) {
      SqlEngine.Result result = engine.execute(connection, request.sql(), request.params());
      connection.rollback();
      return answerBuilder(request, TargetStatus.OK)
          .applied(applied)
          .columns(result.columns())
          .rows(result.rows())
          .updateCount(result.updateCount())
          .build();
    } catch (SQLException e) {
      return sqlError(request, e);
    }
  }

  private TargetAnswer write(TargetRequest request) throws InterruptedException {
    TargetStatus refusal = checkPrimary(request);
    if (refusal != TargetStatus.OK) {
      return answer(request, refusal);
    }
    simulateStatementTime();
    SqlEngine engine = state.engine();
    try (Connection connection = engine.beginTransaction(request.organisation())) {
      TargetTransaction transaction =
          new TargetTransaction(engine, connection, request.organisation());
      engine.claimRequestId(connection, request.organisation(), request.requestId());
      if (request.sql() != null) {
        SqlEngine.Result result = engine.execute(connection, request.sql(), request.params());
        transaction.statements.add(new LogStatement(request.sql(), request.params()));
        transaction.updateCount = result.updateCount();
      }
      return commitAndAppend(request, transaction);
    } catch (DuplicateRequestException e) {
      return answerDuplicate(request, e);
    } catch (SQLException e) {
      return sqlError(request, e);
    }
  }

  private TargetAnswer answerDuplicate(TargetRequest request, DuplicateRequestException earlier) {
    synchronized (state.commitLock) {
      TargetStatus refusal = checkPrimary(request);
      if (refusal != TargetStatus.OK) {
        return answer(request, refusal);
      }
      // The last entry is at or past the first run's, so confirming it confirms that one too.
      return answerBuilder(request, TargetStatus.OK)
          .position(log.lastPosition())
          .updateCount(earlier.updateCount())
          .duplicate(true)
          .build();
    }
  }

  private TargetAnswer begin(org.eclipse.jetty.io.Connection connection, TargetRequest request) {
    TargetStatus refusal = checkPrimary(request);
    if (refusal != TargetStatus.OK) {
      return answer(request, refusal);
    }
    try {
      rollbackOpenTransaction(connection);
      SqlEngine engine = state.engine();
      transactions.put(
          connection,
          new TargetTransaction(
              engine, engine.beginTransaction(request.organisation()), request.organisation()));
      return answer(request, TargetStatus.OK);
    } catch (SQLException e) {
      return sqlError(request, e);
    }
  }

  private TargetAnswer statement(org.eclipse.jetty.io.Connection connection, TargetRequest request)
      throws InterruptedException {
    TargetTransaction transaction = openTransaction(connection, request);
    if (transaction == null) {
      return answer(request, TargetStatus.NO_TRANSACTION);
    }
    simulateStatementTime();
    try {
      SqlEngine.Result result =
          transaction.engine.execute(transaction.connection, request.sql(), request.params());
      if (result.columns() == null) {
        transaction.statements.add(new LogStatement(request.sql(), request.params()));
        transaction.updateCount += result.updateCount();
      }
      return answerBuilder(request, TargetStatus.OK)
          .columns(result.columns())
          .rows(result.rows())
          .updateCount(result.updateCount())
          .build();
    } catch (SQLException e) {
      return sqlError(request, e);
    }
  }

  private TargetAnswer commit(org.eclipse.jetty.io.Connection connection, TargetRequest request) {
    TargetTransaction transaction = openTransaction(connection, request);
    transactions.remove(connection);
    if (transaction == null) {
      return answer(request, TargetStatus.NO_TRANSACTION);
    }
    try {
      transaction.engine.claimRequestId(
          transaction.connection, request.organisation(), request.requestId());
      TargetAnswer answer = commitAndAppend(request, transaction);
      transaction.connection.close();
      return answer;
    } catch (DuplicateRequestException e) {
      transaction.rollback();
      return answer(request, TargetStatus.NO_TRANSACTION);
    } catch (SQLException e) {
      transaction.rollback();
      return sqlError(request, e);
    }
  }

  private TargetAnswer rollback(org.eclipse.jetty.io.Connection connection, TargetRequest request) {
    rollbackOpenTransaction(connection);
    return answer(request, TargetStatus.OK);
  }

  private TargetTransaction openTransaction(
      org.eclipse.jetty.io.Connection connection, TargetRequest request) {
    TargetTransaction transaction = transactions.get(connection);
    boolean usable =
        transaction != null
            && transaction.organisation.equals(request.organisation())
            && checkPrimary(request) == TargetStatus.OK;
    return usable ? transaction : null;
  }

  private TargetAnswer commitAndAppend(TargetRequest request, TargetTransaction transaction)
      throws SQLException {
    synchronized (state.commitLock) {
      TargetStatus refusal = checkPrimary(request);
      if (refusal != TargetStatus.OK || transaction.engine != state.engine()) {
        transaction.connection.rollback();
        return answer(request, refusal == TargetStatus.OK ? TargetStatus.NOT_PRIMARY : refusal);
      }
      transaction.engine.recordResult(
          transaction.connection,
          request.organisation(),
          request.requestId(),
          transaction.updateCount);
      transaction.connection.commit();
      LogEntry entry =
          new LogEntry(
              log.term(),
              log.lastPosition().index() + 1,
              request.organisation(),
              request.requestId(),
              List.copyOf(transaction.statements),
              transaction.updateCount);
      state.recordLocalCommit(entry.index());
      log.append(entry);
      return answerBuilder(request, TargetStatus.OK)
          .position(new Position(entry.term(), entry.index()))
          .updateCount(entry.updateCount())
          .build();
    }
  }

  private TargetAnswer await(TargetRequest request) throws InterruptedException {
    long endNanos = System.nanoTime() + request.waitMs() * NANOS_PER_MS;
    while (!Positions.reaches(log.lastPosition(), request.position())
        && log.term() <= request.term()
        && endNanos - System.nanoTime() > NANOS_PER_MS) {
      log.awaitChange((endNanos - System.nanoTime()) / NANOS_PER_MS);
    }
    return answer(request, TargetStatus.OK);
  }

  private TargetAnswer fence(TargetRequest request) {
    // Under the commit lock, so that no commit of a lower term falls between fence and answer.
    synchronized (state.commitLock) {
      boolean accepted = log.fence(request.term());
      return answer(request, accepted ? TargetStatus.OK : TargetStatus.WRONG_TERM);
    }
  }

  private TargetAnswer promote(TargetRequest request) throws InterruptedException {
    synchronized (state.commitLock) {
      if (!log.promote(request.term(), options.id())) {
        return answer(request, TargetStatus.WRONG_TERM);
      }
    }
    while (!state.isCaughtUp()) {
      log.awaitChange(5);
    }
    return answer(request, TargetStatus.OK);
  }

  private TargetStatus checkPrimary(TargetRequest request) {
    if (request.term() != log.term()) {
      return TargetStatus.WRONG_TERM;
    }
    return options.id().equals(log.primary()) && state.isCaughtUp()
        ? TargetStatus.OK
        : TargetStatus.NOT_PRIMARY;
  }

  private void simulateStatementTime() throws InterruptedException {
    if (options.statementMs() > 0) {
      Thread.sleep(options.statementMs());
    }
  }

  private TargetAnswer sqlError(TargetRequest request, SQLException e) {
    return answerBuilder(request, TargetStatus.SQL_ERROR).message(e.getMessage()).build();
  }

  private TargetAnswer answer(TargetRequest request, TargetStatus status) {
    return answerBuilder(request, status).build();
  }

  private TargetAnswer.Builder answerBuilder(TargetRequest request, TargetStatus status) {
    return TargetAnswer.builder()
        .exchangeId(request.exchangeId())
        .status(status)
        .term(log.term())
        .primary(log.primary())
        .applied(state.applied())
        .logged(log.lastPosition());
  }
}
