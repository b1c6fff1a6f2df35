package io.hickorydrift.core.connection;

import java.util.List;

/**
 * Selects the idle connection to evict when another organisation needs one. Implementations are
 * confined to one thread.
 */
public interface ConnectionEvictor {
  /** Records that {@code organisation} requested a connection. */
  void recordUse(String organisation, long nowNanos);

  /**
   * Returns the index of the idle connection to close.
   *
   * @param idle organisations of the idle connections, longest idle first; not empty
   */
  int selectVictim(List<String> idle, long nowNanos);
}
