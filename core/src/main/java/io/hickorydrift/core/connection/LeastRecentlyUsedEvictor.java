package io.hickorydrift.core.connection;

import java.util.List;

/**
 * Closes the connection that has been idle longest. Load pattern: organisations come in turns, and
 * whoever worked last works on.
 *
 * <p>Thread safety: immutable.
 */
final class LeastRecentlyUsedEvictor implements ConnectionEvictor {
  @Override
  public void recordUse(String organisation, long nowNanos) {}

  @Override
  public int selectVictim(List<String> idle, long nowNanos) {
    return 0;
  }
}
