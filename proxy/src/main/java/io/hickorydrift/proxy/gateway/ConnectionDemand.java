package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.scheduling.FreedConnectionPolicy;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Demand of the organisations for the connections to one target.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class ConnectionDemand {
  // Part of the connections for callers without a key; as large as the part that is left free for
  // restarts, so that a flood of them leaves half of a target's connections to the organisations.
  private static final double ANONYMOUS_SHARE = 0.25;

  private final EventLoop loop;
  private final List<TargetConnection> connections;
  private final ConnectionWaiters waiters;
  private final IntSupplier budget;

  ConnectionDemand(
      EventLoop loop,
      List<TargetConnection> connections,
      ConnectionWaiters waiters,
      IntSupplier budget) {
    this.loop = loop;
    this.connections = connections;
    this.waiters = waiters;
    this.budget = budget;
  }

  /**
   * Decides whether {@code request} gets a new connection; {@code full} tells whether the target
   * has just refused one beyond its limit.
   */
  OpeningPolicy.Decision decide(WaitingRequest request, boolean full) {
    return OpeningPolicy.decide(
        of(request.organisation()),
        full || connections.size() >= budget.getAsInt(),
        loop.nowNanos() - request.sinceNanos());
  }

  /** Returns whether an idle connection of {@code organisation} makes room for {@code first}. */
  boolean makesRoom(String organisation, WaitingRequest first) {
    ConnectionWaiters.Waiter own = waiters.firstStatement(organisation);
    if (own == null) {
      return true;
    }
    OpeningPolicy.Demand ownDemand = of(organisation);
    return FreedConnectionPolicy.makesRoom(
        first,
        own.request(),
        ownDemand.open() + ownDemand.opening(),
        budget.getAsInt() / Math.max(1, organisationCount()),
        loop.nowNanos());
  }

  /** Returns the number of statements that wait for a connection to be closed. */
  int lackingCount() {
    int count = 0;
    for (ConnectionWaiters.Waiter waiter : waiters.items()) {
      boolean lacking = decide(waiter.request(), false) == OpeningPolicy.Decision.REPLACE;
      count += lacking && waiter.forStatement() ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of organisations that have connections or wait for one. */
  private int organisationCount() {
    Set<String> organisations = new HashSet<>();
    connections.forEach(connection -> organisations.add(connection.organisation()));
    waiters.items().forEach(waiter -> organisations.add(waiter.organisation()));
    return organisations.size();
  }

  /**
   * Returns how many connections {@code organisation} may have. Callers without a key, which no
   * rate bounds, get a share that leaves most of the pool to the organisations.
   */
  private int maxConnections(String organisation) {
    boolean anonymous = organisation.equals(AdmissionDecision.NO_ORGANISATION);
    return anonymous ? Math.max(1, (int) (budget.getAsInt() * ANONYMOUS_SHARE)) : Integer.MAX_VALUE;
  }

  private OpeningPolicy.Demand of(String organisation) {
    int open = 0;
    int opening = 0;
    for (TargetConnection connection : connections) {
      if (connection.organisation().equals(organisation)) {
        open += connection.isOpen() ? 1 : 0;
        opening += connection.isOpen() ? 0 : 1;
      }
    }
    return new OpeningPolicy.Demand(
        open, opening, waiters.count(organisation), maxConnections(organisation));
  }

  /** Returns the number of connections that are being opened. */
  int openingCount() {
    int count = 0;
    for (TargetConnection connection : connections) {
      count += connection.isOpen() ? 0 : 1;
    }
    return count;
  }
}
