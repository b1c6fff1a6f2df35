package io.hickorydrift.standin.target;

import java.util.List;

/**
 * One entry of a group's log.
 *
 * <p>Thread safety: immutable as long as its lists are.
 *
 * @param term term in which the entry was written
 * @param index place in the log, from 1
 * @param organisation organisation that it ran for, null for an entry without statements
 * @param requestId id under which it took effect, null for none
 * @param statements statements in order
 * @param updateCount rows changed, for the answer to a second run
 */
record LogEntry(
    long term,
    long index,
    String organisation,
    String requestId,
    List<LogStatement> statements,
    long updateCount) {

  /**
   * One statement.
   *
   * @param sql its text
   * @param params values of its parameters
   */
  record LogStatement(String sql, List<Object> params) {}
}
