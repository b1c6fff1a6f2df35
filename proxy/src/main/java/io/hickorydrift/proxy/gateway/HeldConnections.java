package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.scheduling.IdleTransactionLimits;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.tinylog.Logger;

/**
 * Connections to one target that open transactions hold. Rolls back idle transactions beyond {@link
 * IdleTransactionLimits} while other requests wait.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class HeldConnections {
  private final TargetState target;
  private final Map<TargetConnection, LocalTransaction> holders = new LinkedHashMap<>();
  // Connections whose transactions were rolled back and that have not served a statement since.
  private final Set<TargetConnection> ending = new HashSet<>();

  HeldConnections(TargetState target) {
    this.target = target;
  }

  void add(TargetConnection connection, LocalTransaction transaction) {
    holders.put(connection, transaction);
  }

  /** Records that the transaction on {@code connection} has ended. */
  void remove(TargetConnection connection) {
    holders.remove(connection);
  }

  /** Records that {@code connection} serves a statement again, or was closed for another one. */
  void onReused(TargetConnection connection) {
    holders.remove(connection);
    ending.remove(connection);
  }

  /**
   * Rolls back idle transactions for requests that lack a connection.
   *
   * @param budget maximum number of connections to the target
   * @param lacking number of connections that waiting requests lack
   */
  void endExcess(int budget, IntSupplier lacking, long nowNanos) {
    List<TargetConnection> excess = IdleTransactionLimits.excess(held(), budget, nowNanos);
    if (excess.isEmpty()) {
      return;
    }
    int wanted = Math.max(0, lacking.getAsInt() - ending.size());
    excess = excess.subList(0, Math.min(wanted, excess.size()));
    for (TargetConnection connection : excess) {
      ending.add(connection);
      holders.get(connection).endIdle();
    }
    if (!excess.isEmpty()) {
      Logger.info(
          "event=idle_transactions_ended target={} count={} held={}",
          target.entry().id(),
          excess.size(),
          holders.size());
    }
  }

  private List<IdleTransactionLimits.Held<TargetConnection>> held() {
    List<IdleTransactionLimits.Held<TargetConnection>> held = new ArrayList<>(holders.size());
    holders.forEach(
        (connection, transaction) ->
            held.add(
                new IdleTransactionLimits.Held<>(
                    connection.organisation(), transaction.lastUsedNanos(), connection)));
    return held;
  }

  /** Returns the number of connections held by transactions that run no statement. */
  int idleCount(long nowNanos) {
    int count = 0;
    for (LocalTransaction transaction : holders.values()) {
      count += nowNanos - transaction.lastUsedNanos() > 0 ? 1 : 0;
    }
    return count;
  }
}
