package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.connection.ConnectionEvictor;
import io.hickorydrift.core.connection.EvictionPolicy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Idle connections to one target, longest idle first.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class IdleConnections {
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final ConnectionEvictor evictor = EvictionPolicy.LEAST_EXPECTED_COST.newEvictor();

  void add(TargetConnection connection) {
    idle.addLast(connection);
  }

  void remove(TargetConnection connection) {
    idle.remove(connection);
  }

  boolean isEmpty() {
    return idle.isEmpty();
  }

  /** Records that {@code organisation} requested a connection. */
  void recordUse(String organisation, long nowNanos) {
    evictor.recordUse(organisation, nowNanos);
  }

  /** Returns whether there is one of {@code organisation}. */
  boolean has(String organisation) {
    for (TargetConnection connection : idle) {
      if (connection.organisation().equals(organisation)) {
        return true;
      }
    }
    return false;
  }

  /** Removes and returns the last used connection of any organisation, or returns null. */
  TargetConnection poll() {
    return idle.pollLast();
  }

  /** Removes and returns the last used connection of {@code organisation}, or returns null. */
  TargetConnection take(String organisation) {
    return take(organisation, any -> true);
  }

  /** Removes and returns the last used matching one of {@code organisation}, or returns null. */
  TargetConnection take(String organisation, Predicate<TargetConnection> filter) {
    for (Iterator<TargetConnection> each = idle.descendingIterator(); each.hasNext(); ) {
      TargetConnection connection = each.next();
      if (connection.organisation().equals(organisation) && filter.test(connection)) {
        each.remove();
        return connection;
      }
    }
    return null;
  }

  /** Returns the connection that has been idle longest, or null. */
  TargetConnection longestIdle() {
    return idle.peekFirst();
  }

  /** Returns the first connection that matches {@code filter}, or null. */
  TargetConnection first(Predicate<TargetConnection> filter) {
    return idle.stream().filter(filter).findFirst().orElse(null);
  }

  /** Returns the matching connection that is least likely to be needed soon, or null. */
  TargetConnection leastNeeded(Predicate<TargetConnection> filter, long nowNanos) {
    List<TargetConnection> candidates = new ArrayList<>(idle);
    candidates.removeIf(filter.negate());
    if (candidates.isEmpty()) {
      return null;
    }
    List<String> organisations = new ArrayList<>(candidates.size());
    candidates.forEach(connection -> organisations.add(connection.organisation()));
    return candidates.get(evictor.selectVictim(organisations, nowNanos));
  }
}
