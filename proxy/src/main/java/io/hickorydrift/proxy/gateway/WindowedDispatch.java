package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.scheduling.StatementWindow;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Gives places in a target's window and connections to the requests that wait, in their order.
 * Statements of open transactions come first, because they hold a connection that others wait for.
 * After an outage of the target, requests with an idle connection come before the others. Used
 * while the group has urgent work.
 *
 * <p>Invariant: a place belongs to a connection that is being opened or has commands in flight; it
 * is given back when the connection is opened, has no more commands, is released or is closed.
 * Thread safety: confined to the loop's thread.
 */
final class WindowedDispatch {
  private final TargetPool pool;
  private final ConnectionWaiters waiters;
  private final ConnectionDemand demand;
  private final StatementWindow window;
  private final PredictedWaits waits;
  private final Set<TargetConnection> places = new HashSet<>();
  private final ArrayDeque<TargetConnection> gated = new ArrayDeque<>();
  private boolean serving;
  private boolean serveAgain;

  WindowedDispatch(
      TargetPool pool,
      ConnectionWaiters waiters,
      ConnectionDemand demand,
      StatementWindow window,
      PredictedWaits waits) {
    this.pool = pool;
    this.waiters = waiters;
    this.demand = demand;
    this.window = window;
    this.waits = waits;
  }

  StatementWindow window() {
    return window;
  }

  /** Returns the number of open transactions whose statements wait for a place. */
  int gatedCount() {
    return gated.size();
  }

  /**
   * Returns whether {@code connection} may send commands now. If not, it is told to send them as
   * soon as it has a place.
   */
  boolean maySend(TargetConnection connection) {
    if (!waiters.isFair() || places.contains(connection)) {
      return true;
    }
    if (window.hasRoom()) {
      takePlace(connection);
      return true;
    }
    gated.addLast(connection);
    return false;
  }

  /** Returns whether a statement with a connection could be sent now. */
  boolean hasRoom() {
    return gated.isEmpty() && window.hasRoom();
  }

  private boolean hasRoomFor(String organisation) {
    int own = 0;
    for (TargetConnection each : places) {
      own += each.organisation().equals(organisation) ? 1 : 0;
    }
    return window.hasRoomFor(own);
  }

  /** Takes a place, even if the window has no room. */
  void takePlace(TargetConnection connection) {
    if (places.add(connection)) {
      window.take();
    }
  }

  /** Gives the place of {@code connection} back, if it has one. */
  void givePlaceBack(TargetConnection connection) {
    if (places.remove(connection)) {
      window.giveBack();
    }
  }

  /** Gives back the place of a connection without commands in flight, and passes it on. */
  void onQuiet(TargetConnection connection) {
    if (places.contains(connection)) {
      givePlaceBack(connection);
      serve();
    }
  }

  /** Records the answer to a statement. */
  void recordAnswer(TargetConnection connection, boolean busy, long nanos) {
    if (busy) {
      window.recordBusy();
      return;
    }
    waits.onAnswered();
    if (places.contains(connection)) {
      window.recordAnswer(nanos);
    }
  }

  void onClosed(TargetConnection connection) {
    givePlaceBack(connection);
    gated.remove(connection);
  }

  /** Serves what waits, as far as the window has room. */
  void serve() {
    serveAgain = true;
    if (serving) {
      return;
    }
    serving = true;
    // An error in a callback must not end the serving of this target for good.
    try {
      while (serveAgain) {
        serveAgain = false;
        serveOnce();
      }
    } finally {
      serving = false;
    }
  }

  private void serveOnce() {
    while (!gated.isEmpty() && (window.hasRoom() || !waiters.isFair())) {
      TargetConnection next = gated.pollFirst();
      takePlace(next);
      next.sendWaiting();
    }
    if (waiters.isEmpty()) {
      return;
    }
    boolean lacking = false;
    Set<String> unserved = new HashSet<>();
    for (ConnectionWaiters.Waiter next :
        waits.serviceOrder(each -> !each.forStatement() || pool.hasIdle(each.organisation()))) {
      boolean allowed = !next.forStatement() || hasRoomFor(next.organisation());
      if (!allowed || unserved.contains(next.organisation())) {
        continue;
      }
      if (!pool.hasIdle(next.organisation())) {
        unserved.add(next.organisation());
        lacking |= pool.mayOpen() && !openFor(next);
      } else if (waiters.remove(next)) {
        handOver(next);
      }
    }
    if (lacking) {
      pool.endIdleTransactions();
    }
  }

  private void handOver(ConnectionWaiters.Waiter waiter) {
    TargetConnection connection = pool.takeIdle(waiter.organisation());
    if (waiter.forStatement()) {
      pool.held().onReused(connection);
    }
    boolean handedOver = false;
    try {
      waits.onServed(waiter);
      waiter.listener().acquired(connection);
      handedOver = true;
    } finally {
      if (!handedOver) {
        // Nobody would release it, and it would count against the budget for good.
        connection.close("error in a callback");
      }
    }
  }

  /** Opens a connection if the request should have one; returns false if one has to be closed. */
  private boolean openFor(ConnectionWaiters.Waiter waiter) {
    OpeningPolicy.Decision decision = pool.decide(waiter);
    if (decision == OpeningPolicy.Decision.REPLACE && !pool.evictFor(waiter)) {
      return false;
    }
    if (decision != OpeningPolicy.Decision.WAIT) {
      takePlace(pool.open(waiter.organisation()));
    }
    return true;
  }
}
