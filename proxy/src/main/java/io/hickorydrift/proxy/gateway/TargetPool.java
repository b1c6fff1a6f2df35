package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.admission.PriorityWaitQueue;
import io.hickorydrift.core.connection.ConnectionEvictor;
import io.hickorydrift.core.connection.EvictionPolicy;
import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.TargetCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntSupplier;
import org.tinylog.Logger;

/**
 * Connection pool of one target; each connection belongs to one organisation. Requests that find no
 * connection of their organisation wait in a priority queue. If the pool is full, the idle
 * connection that is least likely to be needed soon is evicted.
 *
 * <p>Invariant: never more connections than the budget allows, except those in use when it shrank.
 * Thread safety: confined to the loop's thread.
 */
final class TargetPool {
  // Opening a connection takes tens of milliseconds; a target that does not respond within this
  // timeout is unreachable.
  private static final long OPEN_TIMEOUT_MS = 1_000;
  private static final long OPEN_RETRY_DELAY_NANOS = 150_000_000L;
  // Opening a connection occupies a target slot that could run a statement, so only a few
  // connections are opened at the same time.
  private static final int MAX_OPENING = 2;
  private static final int UNREACHABLE_AFTER_FAILURES = 2;
  // A target drops the connections of a client that lost power after 3 s, and an instance that was
  // the home closes its connections within a few ticks.
  private static final long FULL_RETRY_DELAY_NANOS = 250_000_000L;
  private static final long RECENTLY_RECEIVED_NANOS = 400_000_000L;
  // Part of the connections for callers without a key; as large as the part that is left free for
  // restarts, so that a flood of them leaves half of a target's connections to the organisations.
  private static final double ANONYMOUS_SHARE = 0.25;
  private static final String RULED_OUT_REASON = "another process answers at the target's address";

  /** Receives the result of a request for a connection. */
  interface AcquireListener {
    /** Receives a connection, which has to be returned with {@link #release}. */
    void acquired(TargetConnection connection);

    /** Reports that no connection was available in time; nothing was sent. */
    void refused(String reason);
  }

  private record PendingAcquire(String organisation, long sinceNanos, AcquireListener listener) {}

  private final EventLoop loop;
  private final TargetCodec codec;
  private final TargetState target;
  private final IntSupplier budget;
  private final List<TargetConnection> connections = new ArrayList<>();
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final ConnectionEvictor evictor = EvictionPolicy.LEAST_EXPECTED_COST.newEvictor();
  private final PriorityWaitQueue<PendingAcquire> waitQueue = new PriorityWaitQueue<>();
  private long nextOpenNanos = Long.MIN_VALUE;
  private long fullUntilNanos = Long.MIN_VALUE;
  private boolean draining;
  private boolean evicting;
  private int failedOpens;

  TargetPool(EventLoop loop, TargetCodec codec, TargetState target, IntSupplier budget) {
    this.loop = loop;
    this.codec = codec;
    this.target = target;
    this.budget = budget;
  }

  TargetState target() {
    return target;
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

  /**
   * Requests a connection of {@code organisation}; requests of higher priority are served first.
   */
  void acquire(String organisation, int priority, long deadlineNanos, AcquireListener listener) {
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
    if (isFull() && connections.isEmpty()) {
      listener.refused("target has no free connection");
      return;
    }
    waitQueue.add(
        priority, deadlineNanos, new PendingAcquire(organisation, loop.nowNanos(), listener));
    openForWaiting();
  }

  /** Returns a connection to the pool, or closes it if it cannot be reused. */
  void release(TargetConnection connection) {
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
    PendingAcquire next =
        waitQueue.poll(each -> each.organisation.equals(connection.organisation()));
    if (next != null) {
      next.listener.acquired(connection);
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
    if (nextOpenNanos != Long.MIN_VALUE && nextOpenNanos - loop.nowNanos() > 0) {
      return;
    }
    for (PendingAcquire next : waitQueue.items()) {
      if (openingCount() >= MAX_OPENING) {
        return;
      }
      boolean poolFull = connections.size() >= budget.getAsInt() || isFull();
      OpeningPolicy.Decision decision =
          OpeningPolicy.decide(
              demand(next.organisation), poolFull, loop.nowNanos() - next.sinceNanos);
      if (decision == OpeningPolicy.Decision.REPLACE && !evictOne()) {
        return;
      }
      if (decision != OpeningPolicy.Decision.WAIT) {
        open(next.organisation);
      }
    }
  }

  /** Returns whether connections cannot be opened and none has received data recently. */
  boolean isUnreachable() {
    return failedOpens >= UNREACHABLE_AFTER_FAILURES && !receivedRecently();
  }

  /** Returns whether the target refused a connection beyond its limit within the retry delay. */
  private boolean isFull() {
    return fullUntilNanos != Long.MIN_VALUE && fullUntilNanos - loop.nowNanos() > 0;
  }

  private boolean receivedRecently() {
    return receivedSince(loop.nowNanos() - RECENTLY_RECEIVED_NANOS);
  }

  /** Opens one connection, to detect whether an unreachable target is reachable again. */
  private void probeTarget(String organisation) {
    boolean due = nextOpenNanos == Long.MIN_VALUE || nextOpenNanos - loop.nowNanos() <= 0;
    if (due && openingCount() == 0 && connections.size() < budget.getAsInt()) {
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

  /**
   * Returns how many connections {@code organisation} may have. Callers without a key, which no
   * rate bounds, get a share that leaves most of the pool to the organisations.
   */
  private int maxConnections(String organisation) {
    boolean anonymous = organisation.equals(AdmissionDecision.NO_ORGANISATION);
    return anonymous ? Math.max(1, (int) (budget.getAsInt() * ANONYMOUS_SHARE)) : Integer.MAX_VALUE;
  }

  private OpeningPolicy.Demand demand(String organisation) {
    int open = 0;
    int opening = 0;
    for (TargetConnection connection : connections) {
      if (connection.organisation().equals(organisation)) {
        open += connection.isOpen() ? 1 : 0;
        opening += connection.isOpen() ? 0 : 1;
      }
    }
    return new OpeningPolicy.Demand(
        open, opening, waitingCount(organisation), maxConnections(organisation));
  }

  private int openingCount() {
    int count = 0;
    for (TargetConnection connection : connections) {
      count += connection.isOpen() ? 0 : 1;
    }
    return count;
  }

  private int waitingCount(String organisation) {
    int count = 0;
    for (PendingAcquire each : waitQueue.items()) {
      if (each.organisation.equals(organisation)) {
        count++;
      }
    }
    return count;
  }

  void onOpened(TargetConnection connection) {
    failedOpens = 0;
    if (draining) {
      connection.close("pool is draining");
      return;
    }
    makeAvailable(connection);
    openForWaiting();
  }

  void onOpenFailed(TargetConnection connection, FailureCode code, String reason) {
    connections.remove(connection);
    recordFailedOpen(code);
    Logger.info(
        "event=open_failed target={} organisation={} code={} reason=\"{}\"",
        target.entry().id(),
        connection.organisation(),
        code,
        reason);
    if (target.isRuledOut()) {
      refuseAll(RULED_OUT_REASON);
    } else if (isUnreachable() || isFull() && connections.isEmpty()) {
      refuseAll("cannot connect: " + reason);
    } else {
      refuseOne(connection.organisation(), "cannot connect: " + reason);
    }
  }

  /** Notes what the failure rules out, so that the next request does not have to find it again. */
  private void recordFailedOpen(FailureCode code) {
    long nowNanos = loop.nowNanos();
    if (code == FailureCode.MISROUTED) {
      target.ruleOut();
    } else if (code == FailureCode.CONNECTION_LIMIT) {
      fullUntilNanos = nowNanos + FULL_RETRY_DELAY_NANOS;
    } else {
      failedOpens++;
      nextOpenNanos = nowNanos + OPEN_RETRY_DELAY_NANOS;
    }
    target.avoidUntil(nowNanos + OPEN_RETRY_DELAY_NANOS);
  }

  private void refuseAll(String reason) {
    for (PendingAcquire next = waitQueue.poll(any -> true);
        next != null;
        next = waitQueue.poll(any -> true)) {
      next.listener.refused(reason);
    }
  }

  private void refuseOne(String organisation, String reason) {
    PendingAcquire next = waitQueue.poll(each -> each.organisation.equals(organisation));
    if (next != null) {
      next.listener.refused(reason);
    }
  }

  void onClosed(TargetConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
    if (!waitQueue.isEmpty() && !draining && !evicting) {
      openForWaiting();
    }
  }

  /** Refuses queued requests and closes connections whose deadline has passed. */
  void tick(long nowNanos) {
    for (TargetConnection connection : List.copyOf(connections)) {
      connection.checkDeadline(nowNanos);
    }
    for (PendingAcquire late : waitQueue.removeExpired(nowNanos)) {
      late.listener.refused("no connection in time");
    }
    while (connections.size() > budget.getAsInt() && !idle.isEmpty()) {
      closeIdle(idle.peekFirst(), "above the budget");
    }
    if (!waitQueue.isEmpty()) {
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
    refuseAll("target is leaving");
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
