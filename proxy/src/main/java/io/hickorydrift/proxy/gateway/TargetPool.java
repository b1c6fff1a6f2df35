package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.connection.ConnectionEvictor;
import io.hickorydrift.core.connection.EvictionPolicy;
import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.TargetCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.tinylog.Logger;

/**
 * Connection pool of one target; each connection belongs to one organisation. Requests that find no
 * connection of their organisation wait ({@link ConnectionWaiters}). If the pool is full, the idle
 * connection that is least likely to be needed soon is evicted.
 *
 * <p>Invariant: never more connections than the budget allows, except those in use when it shrank.
 * Thread safety: confined to the loop's thread.
 */
final class TargetPool {
  // Opening a connection takes tens of milliseconds; a target that does not respond within this
  // timeout is unreachable.
  private static final long OPEN_TIMEOUT_MS = 1_000;
  // Opening a connection occupies a target slot that could run a statement, so only a few
  // connections are opened at the same time.
  private static final int MAX_OPENING = 2;
  private static final long RECENTLY_RECEIVED_NANOS = 400_000_000L;
  private static final String RULED_OUT_REASON = "another process answers at the target's address";

  /** Receives the result of a request for a connection. */
  interface AcquireListener {
    /** Receives a connection, which has to be returned with {@link #release}. */
    void acquired(TargetConnection connection);

    /** Reports that no connection was available in time; nothing was sent. */
    void refused(String reason);
  }

  private final EventLoop loop;
  private final TargetCodec codec;
  private final TargetState target;
  private final IntSupplier budget;
  private final List<TargetConnection> connections = new ArrayList<>();
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final ConnectionEvictor evictor = EvictionPolicy.LEAST_EXPECTED_COST.newEvictor();
  private final ConnectionWaiters waiters;
  private final HeldConnections held;
  private final OpenAttempts attempts;
  private final ConnectionDemand demand;
  private boolean draining;
  private boolean evicting;

  /** Creates a pool; {@code urgent} tells whether the target's group has urgent work. */
  TargetPool(
      EventLoop loop,
      TargetCodec codec,
      TargetState target,
      IntSupplier budget,
      BooleanSupplier urgent) {
    this.loop = loop;
    this.codec = codec;
    this.target = target;
    this.budget = budget;
    waiters = new ConnectionWaiters(loop, urgent);
    held = new HeldConnections(target);
    attempts = new OpenAttempts(loop, target);
    demand = new ConnectionDemand(loop, connections, waiters, budget);
  }

  TargetState target() {
    return target;
  }

  /** Returns the connections that open transactions hold. */
  HeldConnections held() {
    return held;
  }

  /** Returns the number of requests that wait for a connection. */
  int waitingCount() {
    return waiters.count();
  }

  /** Returns the number of connections, open or opening. */
  int size() {
    return connections.size();
  }

  /**
   * Returns whether data was received from the target on any connection after {@code sinceNanos}.
   */
  boolean receivedSince(long sinceNanos) {
    for (TargetConnection connection : connections) {
      if (connection.isOpen() && connection.lastReceivedNanos() - sinceNanos > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether there is an idle connection of {@code organisation}. */
  boolean hasIdle(String organisation) {
    for (TargetConnection connection : idle) {
      if (connection.organisation().equals(organisation)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Removes and returns an idle connection of any organisation, or returns null without waiting.
   */
  TargetConnection pollIdle() {
    return idle.pollLast();
  }

  /**
   * Removes and returns an idle connection, if there is one of {@code organisation} that one, or
   * returns null without waiting.
   */
  TargetConnection pollIdle(String organisation) {
    TargetConnection own = takeIdle(organisation);
    return own == null ? pollIdle() : own;
  }

  /** Requests a connection for an exchange of the instance's own, which runs no statement. */
  void acquire(String organisation, int priority, long deadlineNanos, AcquireListener listener) {
    long nowNanos = loop.nowNanos();
    long objectiveNanos = Math.max(0, deadlineNanos - nowNanos);
    WaitingRequest request =
        new WaitingRequest(
            organisation, priority, nowNanos, nowNanos, objectiveNanos, deadlineNanos, 0);
    acquire(new ConnectionWaiters.Waiter(request, listener, false));
  }

  /** Requests a connection for a statement. */
  void acquire(WaitingRequest request, AcquireListener listener) {
    acquire(new ConnectionWaiters.Waiter(request, listener, true));
  }

  private void acquire(ConnectionWaiters.Waiter waiter) {
    String organisation = waiter.organisation();
    AcquireListener listener = waiter.listener();
    if (draining) {
      listener.refused("pool is draining");
      return;
    }
    evictor.recordUse(organisation, loop.nowNanos());
    TargetConnection connection = takeIdle(organisation);
    if (connection != null) {
      listener.acquired(connection);
      return;
    }
    if (target.isRuledOut()) {
      listener.refused(RULED_OUT_REASON);
      return;
    }
    if (isUnreachable()) {
      listener.refused("target is unreachable");
      probeTarget(organisation);
      return;
    }
    if (attempts.isFull() && connections.isEmpty()) {
      listener.refused("target has no free connection");
      return;
    }
    waiters.add(waiter);
    openForWaiting();
  }

  /** Returns a connection to the pool, or closes it if it cannot be reused. */
  void release(TargetConnection connection) {
    held.onFreed(connection);
    if (!connection.isOpen()) {
      return;
    }
    boolean unfit = connection.state() != SessionState.IDLE || connection.hasPendingCommands();
    if (unfit || draining || connections.size() > budget.getAsInt()) {
      connection.close("not returned to the pool");
      return;
    }
    makeAvailable(connection);
  }

  private void makeAvailable(TargetConnection connection) {
    boolean mayOpen = demand.openingCount() == 0 && !attempts.isFull();
    if (!mayOpen || !demand.makesRoom(connection.organisation())) {
      handOver(connection);
      return;
    }
    closeIdle(connection, "makes room");
    openForWaiting();
  }

  private void handOver(TargetConnection connection) {
    ConnectionWaiters.Waiter next = waiters.poll(connection.organisation());
    if (next != null) {
      next.listener().acquired(connection);
      return;
    }
    idle.addLast(connection);
    openForWaiting();
  }

  private TargetConnection takeIdle(String organisation) {
    for (Iterator<TargetConnection> each = idle.descendingIterator(); each.hasNext(); ) {
      TargetConnection connection = each.next();
      if (connection.organisation().equals(organisation)) {
        each.remove();
        return connection;
      }
    }
    return null;
  }

  private void openForWaiting() {
    if (!attempts.mayOpen()) {
      return;
    }
    for (ConnectionWaiters.Waiter next : waiters.items()) {
      if (demand.openingCount() >= MAX_OPENING) {
        return;
      }
      OpeningPolicy.Decision decision = demand.decide(next.request(), attempts.isFull());
      if (decision == OpeningPolicy.Decision.REPLACE && !evictOne()) {
        endIdleTransactions();
        return;
      }
      if (decision != OpeningPolicy.Decision.WAIT) {
        open(next.organisation());
      }
    }
  }

  private void endIdleTransactions() {
    if (waiters.isFair()) {
      held.endExcess(budget.getAsInt(), demand::lackingCount, loop.nowNanos());
    }
  }

  /** Returns whether connections cannot be opened and none has received data recently. */
  boolean isUnreachable() {
    return attempts.haveFailed() && !receivedRecently();
  }

  private boolean receivedRecently() {
    return receivedSince(loop.nowNanos() - RECENTLY_RECEIVED_NANOS);
  }

  /** Opens one connection, to detect whether an unreachable target is reachable again. */
  private void probeTarget(String organisation) {
    if (attempts.mayOpen()
        && demand.openingCount() == 0
        && connections.size() < budget.getAsInt()) {
      open(organisation);
    }
  }

  private void open(String organisation) {
    connections.add(new TargetConnection(loop, codec, target, organisation, this, OPEN_TIMEOUT_MS));
  }

  private boolean evictOne() {
    if (idle.isEmpty()) {
      return false;
    }
    List<TargetConnection> candidates = new ArrayList<>(idle);
    List<String> organisations = new ArrayList<>(candidates.size());
    candidates.forEach(connection -> organisations.add(connection.organisation()));
    TargetConnection victim = candidates.get(evictor.selectVictim(organisations, loop.nowNanos()));
    closeIdle(victim, "evicted");
    return true;
  }

  void onOpened(TargetConnection connection) {
    attempts.succeeded();
    if (draining) {
      connection.close("pool is draining");
      return;
    }
    // Not subject to makesRoom: closing it unused would waste the time that it took to open.
    handOver(connection);
    openForWaiting();
  }

  void onOpenFailed(TargetConnection connection, FailureCode code, String reason) {
    connections.remove(connection);
    attempts.failed(code);
    Logger.info(
        "event=open_failed target={} organisation={} code={} reason=\"{}\"",
        target.entry().id(),
        connection.organisation(),
        code,
        reason);
    if (target.isRuledOut()) {
      waiters.refuseAll(RULED_OUT_REASON);
    } else if (isUnreachable() || attempts.isFull() && connections.isEmpty()) {
      waiters.refuseAll("cannot connect: " + reason);
    } else {
      waiters.refuseOne(connection.organisation(), "cannot connect: " + reason);
    }
  }

  void onClosed(TargetConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
    held.onFreed(connection);
    if (!waiters.isEmpty() && !draining && !evicting) {
      openForWaiting();
    }
  }

  /** Refuses queued requests and closes connections whose deadline has passed. */
  void tick(long nowNanos) {
    for (TargetConnection connection : List.copyOf(connections)) {
      connection.checkDeadline(nowNanos);
    }
    waiters.updateOrder();
    waiters.refuseExpired(nowNanos);
    while (connections.size() > budget.getAsInt() && !idle.isEmpty()) {
      closeIdle(idle.peekFirst(), "above the budget");
    }
    if (!waiters.isEmpty()) {
      openForWaiting();
    }
  }

  private void closeIdle(TargetConnection connection, String reason) {
    idle.remove(connection);
    evicting = true;
    connection.close(reason);
    evicting = false;
  }

  /** Closes idle connections; connections in use are closed when they are released. */
  void drain() {
    draining = true;
    waiters.refuseAll("target is leaving");
    while (!idle.isEmpty()) {
      idle.pollFirst().close("target is leaving");
    }
  }

  /** Accepts requests again after {@link #drain}. */
  void resume() {
    draining = false;
  }

  /** Closes all connections. */
  void close() {
    drain();
    for (TargetConnection connection : List.copyOf(connections)) {
      connection.close("target removed");
    }
  }
}
