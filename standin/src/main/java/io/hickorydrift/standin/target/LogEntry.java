package io.hickorydrift.standin.target;

import java.util.List;

/**
 * Entry of a group's log.
 *
 * <p>Thread safety: immutable as long as its lists are.
 *
 * @param term term in which the entry was written
 * @param index index in the log, from 1
 * @param organisation organisation that the statements ran for, null for an entry without
 *     statements
 * @param requestId request id of the write, null for none
 * @param statements statements in order
 * @param updateCount rows changed, returned to a duplicate of the request
 */
record LogEntry(
    long term,
    long index,
    String organisation,
    String requestId,
    List<LogStatement> statements,
    long updateCount) {

  /**
   * Statement of an entry.
   *
   * @param sql text of the statement
   * @param params values of the parameters
   */
  record LogStatement(String sql, List<Object> params) {}
}
