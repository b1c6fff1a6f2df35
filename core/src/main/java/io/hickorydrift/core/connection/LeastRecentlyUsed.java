package io.hickorydrift.core.connection;

import java.util.List;

/**
 * Closes the connection that has been idle longest. Load pattern: organisations come in turns, and
 * whoever worked last works on.
 *
 * <p>Thread safety: immutable.
 */
final class LeastRecentlyUsed implements ConnectionKeeping {
  @Override
  public void used(String organisation, long nowNanos) {}

  @Override
  public int choose(List<String> idle, long nowNanos) {
    return 0;
  }
}
