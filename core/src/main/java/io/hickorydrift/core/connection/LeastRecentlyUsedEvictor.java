package io.hickorydrift.core.connection;

import java.util.List;

/**
 * Evicts the connection that has been idle longest. Load pattern: organisations are active one
 * after another, and the most recently active one continues.
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
