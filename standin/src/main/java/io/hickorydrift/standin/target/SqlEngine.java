package io.hickorydrift.standin.target;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.jdbcx.JdbcConnectionPool;

/**
 * Real SQL in an H2 database in memory, with a schema for each organisation and a table of request
 * ids that is written in the transaction of the write.
 *
 * <p>Thread safety: safe; each use takes a connection of its own.
 */
final class SqlEngine implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 100;
  private static final int DUPLICATE_KEY_ERROR = 23505;

  /** Rows of a query, or the number of rows changed. */
  record Result(List<String> columns, List<Object> rows, long updateCount) {}

  /** A request id has taken effect before. */
  static final class DuplicateRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final long updateCount;

    DuplicateRequestException(long updateCount) {
      super(null, null, false, false);
      this.updateCount = updateCount;
    }

    /** Returns the rows that the first run changed. */
    long updateCount() {
      return updateCount;
    }
  }

  private final JdbcConnectionPool pool;
  private final Connection keepAlive;
  private final Set<String> schemas = ConcurrentHashMap.newKeySet();

  SqlEngine(String name) throws SQLException {
    String url = "jdbc:h2:mem:" + name + ";DB_CLOSE_DELAY=-1;LOCK_TIMEOUT=1000";
    keepAlive = DriverManager.getConnection(url, "sa", "");
    pool = JdbcConnectionPool.create(url, "sa", "");
    pool.setMaxConnections(MAX_CONNECTIONS);
    try (Statement statement = keepAlive.createStatement()) {
      statement.execute("CREATE TABLE PUBLIC.REQUESTS (ID VARCHAR PRIMARY KEY, UPDATED BIGINT)");
    }
  }

  /** Opens a transaction for {@code organisation}. */
  Connection beginTransaction(String organisation) throws SQLException {
    Connection connection = pool.getConnection();
    try {
      connection.setAutoCommit(false);
      useSchema(connection, organisation);
      return connection;
    } catch (SQLException e) {
      connection.close();
      throw e;
    }
  }

  private void useSchema(Connection connection, String organisation) throws SQLException {
    String schema = "\"" + organisation.replace("\"", "") + "\"";
    if (!schemas.contains(schema)) {
      synchronized (schemas) {
        try (Statement statement = connection.createStatement()) {
          statement.execute("CREATE SCHEMA IF NOT EXISTS " + schema);
        }
        schemas.add(schema);
      }
    }
    try (Statement statement = connection.createStatement()) {
      statement.execute("SET SCHEMA " + schema);
    }
  }

  /** Records a request id; waits for another open transaction with the same id. */
  void claimRequestId(Connection connection, String organisation, String requestId)
      throws SQLException, DuplicateRequestException {
    try (PreparedStatement insert =
        connection.prepareStatement("INSERT INTO PUBLIC.REQUESTS VALUES (?, 0)")) {
      insert.setString(1, organisation + "/" + requestId);
      insert.executeUpdate();
    } catch (SQLException e) {
      if (e.getErrorCode() != DUPLICATE_KEY_ERROR) {
        throw e;
      }
      throw findEarlierResult(connection, organisation, requestId);
    }
  }

  private static DuplicateRequestException findEarlierResult(
      Connection connection, String organisation, String requestId) throws SQLException {
    try (PreparedStatement query =
        connection.prepareStatement("SELECT UPDATED FROM PUBLIC.REQUESTS WHERE ID = ?")) {
      query.setString(1, organisation + "/" + requestId);
      try (ResultSet rows = query.executeQuery()) {
        rows.next();
        return new DuplicateRequestException(rows.getLong(1));
      }
    }
  }

  /** Keeps the result under a claimed request id. */
  void recordResult(Connection connection, String organisation, String requestId, long updateCount)
      throws SQLException {
    try (PreparedStatement update =
        connection.prepareStatement("UPDATE PUBLIC.REQUESTS SET UPDATED = ? WHERE ID = ?")) {
      update.setLong(1, updateCount);
      update.setString(2, organisation + "/" + requestId);
      update.executeUpdate();
    }
  }

  /** Runs one statement. */
  Result execute(Connection connection, String sql, List<Object> params) throws SQLException {
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      for (int i = 0; params != null && i < params.size(); i++) {
        statement.setObject(i + 1, params.get(i));
      }
      if (!statement.execute()) {
        return new Result(null, null, statement.getUpdateCount());
      }
      try (ResultSet rows = statement.getResultSet()) {
        return readRows(rows);
      }
    }
  }

  private static Result readRows(ResultSet rows) throws SQLException {
    int width = rows.getMetaData().getColumnCount();
    List<String> columns = new ArrayList<>();
    for (int i = 1; i <= width; i++) {
      columns.add(rows.getMetaData().getColumnLabel(i));
    }
    List<Object> read = new ArrayList<>();
    while (rows.next()) {
      List<Object> row = new ArrayList<>();
      for (int i = 1; i <= width; i++) {
        Object value = rows.getObject(i);
        row.add(value instanceof Number || value == null ? value : value.toString());
      }
      read.add(row);
    }
    return new Result(columns, read, 0);
  }

  /** Runs an entry of the log in one transaction. */
  void replay(LogEntry entry) throws SQLException {
    if (entry.organisation() == null) {
      return;
    }
    try (Connection connection = beginTransaction(entry.organisation())) {
      for (LogEntry.LogStatement statement : entry.statements()) {
        execute(connection, statement.sql(), statement.params());
      }
      if (entry.requestId() != null) {
        claimReplayedRequestId(connection, entry);
      }
      connection.commit();
    }
  }

  private void claimReplayedRequestId(Connection connection, LogEntry entry) throws SQLException {
    try {
      claimRequestId(connection, entry.organisation(), entry.requestId());
      recordResult(connection, entry.organisation(), entry.requestId(), entry.updateCount());
    } catch (DuplicateRequestException e) {
      throw new SQLException("request id twice in the log: " + entry.requestId(), e);
    }
  }

  @Override
  public void close() throws SQLException {
    pool.dispose();
    try (Statement statement = keepAlive.createStatement()) {
      statement.execute("SHUTDOWN IMMEDIATELY");
    }
    keepAlive.close();
  }
}
