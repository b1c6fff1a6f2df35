package io.hickorydrift.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects idle transactions to be rolled back because they hold more than their part of a target's
 * connections while other requests wait for one. Load pattern: a hundred callers stay idle inside
 * transactions for seconds and hold all connections.
 *
 * <p>Thread safety: stateless.
 */
public final class IdleTransactionLimits {
  // Callers pause for less than this between the statements of a transaction.
  private static final long IDLE_NANOS = 500_000_000L;
  // The other half serves the callers that do not pause.
  private static final double MAX_SHARE = 0.5;
  private static final double MAX_SHARE_OF_ORGANISATION = 0.1;
  private static final int MIN_OF_ORGANISATION = 2;

  /**
   * A transaction that holds a connection.
   *
   * @param organisation its organisation
   * @param lastUsedNanos time of its last statement's answer; the current time while one runs
   * @param item the transaction
   */
  public record Held<T>(String organisation, long lastUsedNanos, T item) {}

  private IdleTransactionLimits() {}

  /**
   * Returns the transactions that may be rolled back, longest idle first.
   *
   * @param held transactions that hold connections to the target
   * @param budget maximum number of connections to the target
   */
  public static <T> List<T> excess(List<Held<T>> held, int budget, long nowNanos) {
    List<Held<T>> idle = new ArrayList<>();
    Map<String, Integer> counts = new HashMap<>();
    for (Held<T> each : held) {
      if (nowNanos - each.lastUsedNanos > IDLE_NANOS) {
        idle.add(each);
        counts.merge(each.organisation, 1, Integer::sum);
      }
    }
    idle.sort(Comparator.comparingLong(each -> each.lastUsedNanos - nowNanos));
    int maxIdle = (int) (budget * MAX_SHARE);
    int maxOfOrganisation =
        Math.max(MIN_OF_ORGANISATION, (int) (budget * MAX_SHARE_OF_ORGANISATION));
    List<T> excess = new ArrayList<>();
    for (Held<T> each : idle) {
      boolean beyond =
          idle.size() - excess.size() > maxIdle
              || counts.get(each.organisation) > maxOfOrganisation;
      if (beyond) {
        excess.add(each.item);
        counts.merge(each.organisation, -1, Integer::sum);
      }
    }
    return excess;
  }
}
