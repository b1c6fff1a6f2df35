package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.scheduling.StatementWindow;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.TargetCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
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

  private final EventLoop loop;
  private final TargetCodec codec;
  private final TargetState target;
  private final IntSupplier budget;
  private final AnswerObserver answerObserver;
  private final List<TargetConnection> connections = new ArrayList<>();
  private final IdleConnections idle = new IdleConnections();
  private final ConnectionWaiters waiters;
  // Connections that are being opened in place of others, and the requests that they go to.
  private final Map<TargetConnection, AcquireListener> replacements = new HashMap<>();
  private final HeldConnections held;
  private final OpenAttempts attempts;
  private final ConnectionDemand demand;
  private final PredictedWaits predicted;
  private final WindowedDispatch dispatch;
  private boolean draining;
  private boolean evicting;
  private int openedCount;

  /** Creates a pool; {@code urgent} tells whether the target's group has urgent work. */
  TargetPool(
      EventLoop loop,
      TargetCodec codec,
      TargetState target,
      IntSupplier budget,
      BooleanSupplier urgent,
      WaitObserver observer,
      AnswerObserver answerObserver) {
    this.loop = loop;
    this.codec = codec;
    this.target = target;
    this.budget = budget;
    this.answerObserver = answerObserver;
    waiters = new ConnectionWaiters(loop, urgent);
    held = new HeldConnections(target);
    attempts = new OpenAttempts(loop, target);
    demand = new ConnectionDemand(loop, connections, waiters, budget);
    StatementWindow window = new StatementWindow(target.entry().slots());
    predicted = new PredictedWaits(loop, target, waiters, window, observer);
    dispatch = new WindowedDispatch(this, waiters, demand, window, predicted);
  }

  TargetState target() {
    return target;
  }

  AnswerObserver answerObserver() {
    return answerObserver;
  }

  /** Returns the connections that open transactions hold. */
  HeldConnections held() {
    return held;
  }

  /** Returns the places and the order of the target's statements. */
  WindowedDispatch dispatch() {
    return dispatch;
  }

  /** Returns the predicted waits, from which the delays of refused callers follow. */
  PredictedWaits waits() {
    return predicted;
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
   * Returns whether the target has answered after {@code sinceNanos}, if only to refuse a
   * connection beyond its limit: it works, and what fills it may be connections of dead instances.
   */
  boolean receivedSince(long sinceNanos) {
    return attempts.isFull()
        || connections.stream()
            .anyMatch(each -> each.isOpen() && each.lastReceivedNanos() - sinceNanos > 0);
  }

  /** Returns whether there is an idle connection of {@code organisation}. */
  boolean hasIdle(String organisation) {
    return idle.has(organisation);
  }

  /** Removes and returns an idle connection of any organisation, or null without waiting. */
  TargetConnection pollIdle() {
    return idle.poll();
  }

  /**
   * Removes and returns an idle connection, if there is one of {@code organisation} that one, or
   * returns null without waiting.
   */
  TargetConnection pollIdle(String organisation) {
    TargetConnection own = idle.take(organisation);
    return own == null ? pollIdle() : own;
  }

  /**
   * Requests a connection as {@link #acquire(String, long, AcquireListener)} does, for an exchange
   * that is the same on a connection of any organisation: an idle one is taken at once.
   */
  void acquireAny(String organisation, long deadlineNanos, AcquireListener listener) {
    TargetConnection idleConnection = pollIdle();
    if (idleConnection != null) {
      listener.acquired(idleConnection);
    } else {
      acquire(organisation, deadlineNanos, listener);
    }
  }

  /** Requests a connection for an exchange of the instance's own, which runs no statement. */
  void acquire(String organisation, long deadlineNanos, AcquireListener listener) {
    acquire(waiters.ownExchange(organisation, deadlineNanos, listener));
  }

  /**
   * Requests a connection for a statement, which is refused at once if it would wait for too long.
   *
   * @param timeoutNanos statement timeout
   * @param unitHash hash of the statement in [0, 1), which spreads the retries of many callers
   */
  void acquire(
      WaitingRequest request, long timeoutNanos, double unitHash, AcquireListener listener) {
    boolean waits = waiters.isFair() && !isFree(request.organisation());
    WaitRefusal refusal = waits ? predicted.refusal(request, timeoutNanos, unitHash) : null;
    if (refusal == null) {
      long predictedNanos = waits ? predicted.predict(request) : 0;
      acquire(new ConnectionWaiters.Waiter(request, listener, true, predictedNanos));
    } else {
      listener.refusedAtOnce(refusal);
    }
  }

  private void acquire(ConnectionWaiters.Waiter waiter) {
    String organisation = waiter.organisation();
    AcquireListener listener = waiter.listener();
    if (draining) {
      listener.refused("pool is draining");
      return;
    }
    idle.recordUse(organisation, loop.nowNanos());
    boolean inOrder = waiters.isFair() && waiter.forStatement();
    if (inOrder && hasIdle(organisation)) {
      waiters.add(waiter);
      dispatch.serve();
      return;
    }
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
    serveWaiting();
  }

  /** Removes a request that waits; returns false if it does not. Its listener is not told. */
  boolean cancel(AcquireListener listener) {
    return waiters.cancel(listener) || replacements.values().remove(listener);
  }

  /**
   * Takes {@code connection} back and hands out one of the same organisation on which no row of a
   * write can be mistaken: an idle one, or else a new one in its place.
   */
  void exchangeForWrite(TargetConnection connection, AcquireListener listener) {
    String organisation = connection.organisation();
    TargetConnection other = idle.take(organisation, each -> !each.mayMistakeRowsOfWrite());
    if (other != null) {
      release(connection);
      listener.acquired(other);
      return;
    }
    closeSilently(connection, "rows may be mistaken");
    if (draining) {
      listener.refused("pool is draining");
      return;
    }
    TargetConnection opening = open(organisation);
    replacements.put(opening, listener);
    dispatch.takePlace(opening);
  }

  /** Returns whether the window has room and there is or may be opened a connection. */
  boolean isFree(String organisation) {
    boolean mayGrow = connections.size() < budget.getAsInt() && !attempts.isFull();
    return dispatch.hasRoom() && (mayGrow || idle.has(organisation));
  }

  /** Returns a connection to the pool, or closes it if it cannot be reused. */
  void release(TargetConnection connection) {
    held.remove(connection);
    dispatch.givePlaceBack(connection);
    if (!connection.isOpen()) {
      return;
    }
    boolean unfit = connection.state() != SessionState.IDLE || connection.hasPendingCommands();
    if (connection.isUsedUp()) {
      connection.close("used up");
      serveWaiting();
      return;
    }
    if (unfit || draining || connections.size() > budget.getAsInt()) {
      connection.close("not returned to the pool");
      return;
    }
    if (connection.isOutOfStep()) {
      connection.resynchronize();
      return;
    }
    makeAvailable(connection);
  }

  private void makeAvailable(TargetConnection connection) {
    if (waiters.isFair()) {
      idle.add(connection);
      serveWaiting();
    } else {
      handOver(connection);
    }
  }

  private void serveWaiting() {
    if (waiters.isFair()) {
      dispatch.serve();
    } else {
      openForWaiting();
    }
  }

  private void handOver(TargetConnection connection) {
    ConnectionWaiters.Waiter next = waiters.poll(connection.organisation());
    if (next != null) {
      held.onReused(connection);
      predicted.onServed(next);
      next.listener().acquired(connection);
      return;
    }
    idle.add(connection);
    serveWaiting();
  }

  /** Removes and returns an idle connection of {@code organisation}, or returns null. */
  TargetConnection takeIdle(String organisation) {
    return idle.take(organisation);
  }

  private void openForWaiting() {
    if (!attempts.mayOpen()) {
      return;
    }
    for (ConnectionWaiters.Waiter next : waiters.items()) {
      if (demand.openingCount() >= MAX_OPENING) {
        return;
      }
      OpeningPolicy.Decision decision = decide(next);
      if (decision == OpeningPolicy.Decision.REPLACE && !evictOne(any -> true)) {
        return;
      }
      if (decision != OpeningPolicy.Decision.WAIT) {
        open(next.organisation());
      }
    }
  }

  OpeningPolicy.Decision decide(ConnectionWaiters.Waiter waiter) {
    return demand.decide(waiter.request(), attempts.isFull());
  }

  /** Returns whether another connection may be opened now. */
  boolean mayOpen() {
    return attempts.mayOpen() && demand.openingCount() < MAX_OPENING;
  }

  void endIdleTransactions() {
    held.endExcess(budget.getAsInt(), demand::lackingCount, loop.nowNanos());
  }

  /** Returns whether connections cannot be opened and none has received data recently. */
  boolean isUnreachable() {
    return attempts.haveFailed() && !receivedSince(loop.nowNanos() - RECENTLY_RECEIVED_NANOS);
  }

  /** Opens one connection, to detect whether an unreachable target is reachable again. */
  private void probeTarget(String organisation) {
    if (attempts.mayOpen()
        && demand.openingCount() == 0
        && connections.size() < budget.getAsInt()) {
      open(organisation);
    }
  }

  /** Opens a connection of {@code organisation}. */
  TargetConnection open(String organisation) {
    TargetConnection connection =
        new TargetConnection(
            loop, codec, target, organisation, this, OPEN_TIMEOUT_MS, ++openedCount);
    connections.add(connection);
    return connection;
  }

  /** Closes an idle connection that nobody waits for, or else one that has to make room. */
  boolean evictFor(ConnectionWaiters.Waiter waiter) {
    if (evictOne(each -> waiters.firstStatement(each.organisation()) == null)) {
      return true;
    }
    TargetConnection room =
        idle.first(each -> demand.makesRoom(each.organisation(), waiter.request()));
    if (room != null) {
      closeIdle(room, "makes room");
    }
    return room != null;
  }

  private boolean evictOne(Predicate<TargetConnection> filter) {
    TargetConnection victim = idle.leastNeeded(filter, loop.nowNanos());
    if (victim != null) {
      closeIdle(victim, "evicted");
    }
    return victim != null;
  }

  void onOpened(TargetConnection connection) {
    attempts.succeeded();
    dispatch.givePlaceBack(connection);
    AcquireListener replaced = replacements.remove(connection);
    if (draining) {
      connection.close("pool is draining");
      if (replaced != null) {
        replaced.refused("pool is draining");
      }
      return;
    }
    if (replaced != null) {
      replaced.acquired(connection);
      serveWaiting();
      return;
    }
    // Goes to its organisation in any case: to close it unused would waste the time of opening it.
    handOver(connection);
    serveWaiting();
  }

  void onOpenFailed(TargetConnection connection, FailureCode code, String reason) {
    connections.remove(connection);
    dispatch.onClosed(connection);
    attempts.failed(code);
    Logger.info(
        (Object)
            LogLine.format(
                "event=open_failed target={} organisation={} code={} reason=\"{}\"",
                target.entry().id(),
                connection.organisation(),
                code,
                reason));
    AcquireListener replaced = replacements.remove(connection);
    if (replaced != null) {
      replaced.refused("cannot connect: " + reason);
      return;
    }
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
    held.onReused(connection);
    dispatch.onClosed(connection);
    if (!waiters.isEmpty() && !draining && !evicting) {
      serveWaiting();
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
      closeIdle(idle.longestIdle(), "above the budget");
    }
    dispatch.window().setSlots(target.entry().slots());
    if (!waiters.isEmpty() || dispatch.gatedCount() > 0) {
      serveWaiting();
    }
  }

  /** Closes the idle connections on which nothing was received since {@code nanos}. */
  void closeIdleSince(long nanos) {
    for (TargetConnection each = idle.longestIdle();
        each != null && each.lastReceivedNanos() - nanos < 0;
        each = idle.longestIdle()) {
      closeIdle(each, "idle at an instance that serves no home");
    }
  }

  private void closeIdle(TargetConnection connection, String reason) {
    idle.remove(connection);
    closeSilently(connection, reason);
  }

  /** Closes a connection whose place is taken by another one, so that no request gets it. */
  private void closeSilently(TargetConnection connection, String reason) {
    evicting = true;
    connection.close(reason);
    evicting = false;
  }

  /** Closes idle connections; connections in use are closed when they are released. */
  void drain() {
    draining = true;
    waiters.refuseAll("target is leaving");
    while (!idle.isEmpty()) {
      closeIdle(idle.longestIdle(), "target is leaving");
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
