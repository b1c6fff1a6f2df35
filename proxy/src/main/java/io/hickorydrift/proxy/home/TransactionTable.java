package io.hickorydrift.proxy.home;

import io.hickorydrift.proxy.target.TargetConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * The transactions open at this home. An id holds the instance and the group, so that any instance
 * can forward a statement, and a random part, so that ids cannot be guessed.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class TransactionTable {
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long MAX_DURATION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final String instance;
  private final Map<String, HomeTransaction> open = new HashMap<>();
  private volatile int size;

  TransactionTable(String instance) {
    this.instance = instance;
  }

  HomeTransaction open(
      String group,
      String organisation,
      String target,
      TargetConnection connection,
      long nowNanos) {
    String id = TransactionId.of(instance, group, UUID.randomUUID().toString());
    HomeTransaction transaction =
        new HomeTransaction(id, organisation, target, connection, nowNanos);
    open.put(id, transaction);
    size = open.size();
    return transaction;
  }

  /**
   * Returns the open transaction, or null if it is not open or of another organisation or group.
   */
  HomeTransaction find(String id, String organisation, String group) {
    HomeTransaction transaction = open.get(id);
    boolean matches =
        transaction != null
            && transaction.organisation.equals(organisation)
            && TransactionId.group(id).equals(group);
    return matches ? transaction : null;
  }

  boolean remove(HomeTransaction transaction) {
    boolean removed = open.remove(transaction.id) != null;
    size = open.size();
    return removed;
  }

  /** Returns the open transactions of a group. */
  List<HomeTransaction> transactionsOf(String group) {
    List<HomeTransaction> found = new ArrayList<>();
    for (HomeTransaction transaction : open.values()) {
      if (TransactionId.group(transaction.id).equals(group)) {
        found.add(transaction);
      }
    }
    return found;
  }

  /** Returns the number of open transactions; may be called from any thread. */
  int size() {
    return size;
  }

  /** Returns the transactions of a group that were idle or open for too long and are not busy. */
  List<HomeTransaction> findExpired(String group, long nowNanos) {
    List<HomeTransaction> expired = new ArrayList<>();
    for (HomeTransaction transaction : transactionsOf(group)) {
      boolean idle = nowNanos - transaction.lastUsedNanos > IDLE_TIMEOUT_NANOS;
      boolean tooLong = nowNanos - transaction.beganNanos > MAX_DURATION_NANOS;
      if (!transaction.busy && (idle || tooLong)) {
        expired.add(transaction);
      }
    }
    return expired;
  }
}
