package io.hickorydrift.core.statement;

/**
 * A prepared statement. On target connections, the name of a prepared statement derives from its
 * content, so that callers that prepare the same statement share it.
 *
 * <p>Thread safety: immutable.
 *
 * @param writes whether executing it writes
 * @param shape query shape: the statement without its arguments
 */
public record PreparedStatement(boolean writes, String shape) {
  /** Returns the name of the statement on target connections. */
  public String sharedName() {
    return (writes ? "w_" : "r_") + shape;
  }
}
