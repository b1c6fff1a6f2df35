package io.hickorydrift.standin.target;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;

/**
 * Open transaction on one connection from an instance.
 *
 * <p>Thread safety: confined to that connection, which carries one exchange at a time.
 */
final class TargetTransaction {
  final SqlEngine engine;
  final Connection connection;
  final String organisation;
  final List<LogEntry.LogStatement> statements = new ArrayList<>();
  long updateCount;

  TargetTransaction(SqlEngine engine, Connection connection, String organisation) {
    this.engine = engine;
    this.connection = connection;
    this.organisation = organisation;
  }

  /** Rolls back and closes the connection. An already closed connection is not an error. */
  void rollback() {
    try {
      connection.rollback();
      connection.close();
    } catch (SQLException e) {
      // The database was rebuilt or shut down, which ended the transaction too.
      statements.clear();
    }
  }
}
