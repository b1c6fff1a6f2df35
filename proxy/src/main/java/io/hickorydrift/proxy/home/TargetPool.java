package io.hickorydrift.proxy.home;

import io.hickorydrift.core.flow.AttemptTimeout;
import io.hickorydrift.core.flow.ExchangeFailure;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.queue.DeficitRoundRobinQueue;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.target.TargetConnection;
import io.hickorydrift.proxy.target.TargetConnector;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This home's connections to one target, and the fair queue of those who wait for one.
 *
 * <p>Invariants: connections open, opening or handed out never exceed the limit; a connection whose
 * last exchange brought no whole answer is never used again.
 *
 * <p>Thread safety: confined to the home duty; results come back through its ring.
 */
final class TargetPool {
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final double SERVICE_SMOOTHING = 0.1;
  private static final double FIRST_SERVICE_NANOS = 2e6;
  private static final String SHARED_LANE = "";
  private static final double IN_FLIGHT_BOUND = 0.75;

  /** What becomes of one exchange. */
  interface Listener {
    /** An answer came. */
    void answered(TargetAnswer answer, long sentNanos);

    /** No answer came. */
    void failed(ExchangeFailure failure);
  }

  /** Gets a connection of its own, or null if none can be had in time. */
  interface Lender extends Consumer<TargetConnection> {}

  private record Waiting(String organisation, long deadlineNanos, Lender lender) {}

  private final String address;
  private final TargetConnector connector;
  private final Worker duty;
  private final boolean fair;
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> lent = new HashSet<>();
  private final DeficitRoundRobinQueue<Waiting> queue = new DeficitRoundRobinQueue<>(1);
  private int limit;
  private int open;
  private double serviceNanos = FIRST_SERVICE_NANOS;

  TargetPool(String address, TargetConnector connector, Worker duty, boolean fair) {
    this.address = address;
    this.connector = connector;
    this.duty = duty;
    this.fair = fair;
  }

  String address() {
    return address;
  }

  int open() {
    return open;
  }

  int limit() {
    return limit;
  }

  /** Changes how many connections may be open; surplus idle ones are closed at once. */
  void setLimit(int newLimit) {
    if (newLimit != limit) {
      limit = newLimit;
      queue.setMaxInFlightPerOrganisation(
          fair ? (int) Math.max(1, Math.ceil(newLimit * IN_FLIGHT_BOUND)) : newLimit);
    }
    while (open > limit && !idle.isEmpty()) {
      discard(idle.removeFirst());
    }
  }

  /** Closes all connections, also those in use, whose exchanges then end without an answer. */
  void retireAll() {
    lent.forEach(TargetConnection::close);
    while (!idle.isEmpty()) {
      discard(idle.removeFirst());
    }
  }

  /** Closes all idle connections and refuses those who wait. */
  void close() {
    setLimit(0);
    for (Waiting waiting : queue.removeIf(all -> true)) {
      waiting.lender.accept(null);
    }
  }

  /**
   * Runs one exchange on any connection. Refused at once if the wait for a connection is expected
   * to pass the deadline.
   */
  void exchange(
      String organisation,
      double weight,
      TargetRequest request,
      long deadlineNanos,
      long nowNanos,
      Listener listener) {
    borrow(
        organisation,
        weight,
        deadlineNanos,
        nowNanos,
        connection -> {
          if (connection == null) {
            listener.failed(ExchangeFailure.NOT_SENT);
          } else {
            run(connection, organisation, request, deadlineNanos, listener, true);
          }
        },
        () -> listener.failed(ExchangeFailure.QUEUE_FULL));
  }

  /** Lends a connection until {@link #giveBack}. */
  void borrow(
      String organisation,
      double weight,
      long deadlineNanos,
      long nowNanos,
      Lender lender,
      Runnable onFull) {
    double waitNanos =
        limit == 0 ? 0 : (queue.queuedAheadOf(lane(organisation)) + 1) * serviceNanos / limit;
    if (nowNanos + waitNanos > deadlineNanos) {
      onFull.run();
      return;
    }
    queue.offer(
        lane(organisation), fair ? weight : 1, new Waiting(organisation, deadlineNanos, lender));
    dispatch();
  }

  /** Runs an exchange on a lent connection. */
  void run(
      TargetConnection connection,
      String organisation,
      TargetRequest request,
      long deadlineNanos,
      Listener listener,
      boolean giveBack) {
    long sentNanos = System.nanoTime();
    long leftNanos = deadlineNanos - sentNanos;
    long timeoutMs = Math.max(1, AttemptTimeout.nanos(request.op(), leftNanos) / NANOS_PER_MS);
    connection
        .exchange(request, timeoutMs)
        .whenComplete(
            (answer, failure) ->
                duty.submit(
                    () -> {
                      if (answer != null) {
                        // Time-outs say nothing of how long service takes.
                        long tookNanos = System.nanoTime() - sentNanos;
                        serviceNanos += SERVICE_SMOOTHING * (tookNanos - serviceNanos);
                      }
                      if (giveBack) {
                        giveBack(connection, organisation);
                      }
                      finish(answer, sentNanos, listener);
                    }));
  }

  private static void finish(TargetAnswer answer, long sentNanos, Listener listener) {
    if (answer == null) {
      listener.failed(ExchangeFailure.NO_ANSWER);
    } else if (answer.status() == TargetStatus.TOO_MANY_CONNECTIONS) {
      listener.failed(ExchangeFailure.NOT_SENT);
    } else {
      listener.answered(answer, sentNanos);
    }
  }

  /** Takes a lent connection back. */
  void giveBack(TargetConnection connection, String organisation) {
    queue.release(lane(organisation));
    lent.remove(connection);
    if (connection.usable() && open <= limit) {
      idle.addFirst(connection);
    } else {
      discard(connection);
    }
    dispatch();
  }

  /** Refuses those whose deadline has passed and closes idle connections that broke. */
  void tick(long nowNanos) {
    for (Waiting waiting : queue.removeIf(one -> one.deadlineNanos - nowNanos <= 0)) {
      waiting.lender.accept(null);
    }
    idle.removeIf(
        connection -> {
          boolean broken = !connection.usable();
          open -= broken ? 1 : 0;
          return broken;
        });
    dispatch();
  }

  private void dispatch() {
    while (queue.size() > 0 && (!idle.isEmpty() || open < limit)) {
      Waiting next = queue.poll();
      if (next == null) {
        return;
      }
      TargetConnection connection = takeIdle();
      if (connection != null) {
        lend(connection, next);
      } else {
        openFor(next);
      }
    }
  }

  private TargetConnection takeIdle() {
    while (!idle.isEmpty()) {
      TargetConnection connection = idle.removeFirst();
      if (connection.usable()) {
        return connection;
      }
      open--;
    }
    return null;
  }

  private void openFor(Waiting next) {
    open++;
    connector
        .open(address)
        .whenComplete(
            (connection, failure) ->
                duty.submit(
                    () -> {
                      if (connection == null) {
                        open--;
                        queue.release(lane(next.organisation));
                        next.lender.accept(null);
                      } else {
                        lend(connection, next);
                      }
                    }));
  }

  private void lend(TargetConnection connection, Waiting next) {
    lent.add(connection);
    next.lender.accept(connection);
  }

  private String lane(String organisation) {
    return fair ? organisation : SHARED_LANE;
  }

  private void discard(TargetConnection connection) {
    connection.close();
    open--;
  }
}
