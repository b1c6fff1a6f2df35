package io.hickorydrift.core.connection;

import java.util.List;

/**
 * Chooses the idle connection that makes room for another organisation's. Implementations are
 * confined to one thread.
 */
public interface ConnectionEvictor {
  /** Notes that {@code organisation} asked for a connection. */
  void recordUse(String organisation, long nowNanos);

  /**
   * Returns which of the idle connections to close.
   *
   * @param idle organisations of the idle connections, the one idle longest first; not empty
   */
  int selectVictim(List<String> idle, long nowNanos);
}
