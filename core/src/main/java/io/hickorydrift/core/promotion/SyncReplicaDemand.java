package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.LogHolders;
import java.util.HashMap;
import java.util.Map;

/**
 * The number of replicas that have received each commit which a group acknowledged lately. Load
 * pattern: the declared number changes shortly before the primary is lost, or during its
 * replacement.
 *
 * <p>Invariant: a number counts for as long as a departed target counts as one that may come back
 * with its log, even if none or a higher one is declared meanwhile. Thread safety: confined to one
 * thread.
 */
public final class SyncReplicaDemand {
  private final Map<Integer, Long> lastDeclaredNanos = new HashMap<>();

  /** Records that {@code syncReplicas} is declared now, 0 for none. */
  public void record(int syncReplicas, long nowNanos) {
    lastDeclaredNanos.values().removeIf(each -> nowNanos - each > LogHolders.RETURN_NANOS);
    if (syncReplicas > 0) {
      lastDeclaredNanos.put(syncReplicas, nowNanos);
    }
  }

  /** Returns the lowest number above 0 that was declared lately, or 0 if there was none. */
  public int lowest() {
    return lastDeclaredNanos.keySet().stream().mapToInt(Integer::intValue).min().orElse(0);
  }
}
