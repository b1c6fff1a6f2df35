package io.hickorydrift.core.statement;

/**
 * A prepared statement. Target connections name prepared statements by content, so that callers who
 * prepare the same share them.
 *
 * <p>Thread safety: immutable.
 *
 * @param writes whether executing it writes
 * @param shape what it runs
 */
public record PreparedStatement(boolean writes, String shape) {
  /** Returns the name on target connections. */
  public String sharedName() {
    return (writes ? "w_" : "r_") + shape;
  }
}
