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
 * A pool of this home's connections to one target, with a fair queue of requests that wait for a
 * connection.
 *
 * <p>Invariants: connections that are open, being opened or in use never exceed the limit, except
 * that those in use when the limit is lowered stay open until they are released; a connection whose
 * last exchange ended without a complete answer is never reused.
 *
 * <p>Thread safety: confined to the home worker; results are submitted to its ring.
 */
final class HomeTargetPool {
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final double SERVICE_TIME_SMOOTHING = 0.1;
  private static final double INITIAL_SERVICE_NANOS = 2e6;
  private static final String SHARED_QUEUE_KEY = "";
  private static final double MAX_IN_FLIGHT_FRACTION = 0.75;

  /** Receives the result of one exchange. */
  interface Listener {
    /** Called when the target has answered. */
    void onAnswer(TargetAnswer answer, long sentNanos);

    /** Called when the exchange ended without an answer. */
    void onFailure(ExchangeFailure failure);
  }

  /** Receives a connection for exclusive use, or null if none became available in time. */
  interface AcquireListener extends Consumer<TargetConnection> {}

  private record PendingAcquire(
      String organisation, long deadlineNanos, AcquireListener listener) {}

  private final String address;
  private final TargetConnector connector;
  private final Worker worker;
  private final boolean fair;
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> inUse = new HashSet<>();
  private final DeficitRoundRobinQueue<PendingAcquire> queue = new DeficitRoundRobinQueue<>(1);
  private int limit;
  private int openCount;
  private double serviceNanos = INITIAL_SERVICE_NANOS;

  HomeTargetPool(String address, TargetConnector connector, Worker worker, boolean fair) {
    this.address = address;
    this.connector = connector;
    this.worker = worker;
    this.fair = fair;
  }

  String address() {
    return address;
  }

  int openConnections() {
    return openCount;
  }

  int limit() {
    return limit;
  }

  /** Sets the maximum number of open connections; surplus idle ones are closed at once. */
  void setLimit(int newLimit) {
    if (newLimit != limit) {
      limit = newLimit;
      queue.setMaxInFlightPerOrganisation(
          fair ? (int) Math.max(1, Math.ceil(newLimit * MAX_IN_FLIGHT_FRACTION)) : newLimit);
    }
    while (openCount > limit && !idle.isEmpty()) {
      discard(idle.removeFirst());
    }
  }

  /** Closes all connections, including those in use, whose exchanges then end without an answer. */
  void closeAllConnections() {
    inUse.forEach(TargetConnection::close);
    while (!idle.isEmpty()) {
      discard(idle.removeFirst());
    }
  }

  /** Closes all idle connections and rejects the queued requests. */
  void close() {
    setLimit(0);
    for (PendingAcquire pending : queue.removeIf(all -> true)) {
      pending.listener.accept(null);
    }
  }

  /**
   * Runs one exchange on any connection. Fails at once with {@code QUEUE_FULL} if the expected wait
   * for a connection exceeds the deadline.
   */
  void exchange(
      String organisation,
      double weight,
      TargetRequest request,
      long deadlineNanos,
      long nowNanos,
      Listener listener) {
    acquire(
        organisation,
        weight,
        deadlineNanos,
        nowNanos,
        connection -> {
          if (connection == null) {
            listener.onFailure(ExchangeFailure.NOT_SENT);
          } else {
            exchangeOn(connection, organisation, request, deadlineNanos, listener, true);
          }
        },
        () -> listener.onFailure(ExchangeFailure.QUEUE_FULL));
  }

  /**
   * Acquires a connection, which the caller returns with {@link #release}. Calls {@code onFull} if
   * the expected wait for a connection exceeds the deadline.
   */
  void acquire(
      String organisation,
      double weight,
      long deadlineNanos,
      long nowNanos,
      AcquireListener listener,
      Runnable onFull) {
    double waitNanos =
        limit == 0 ? 0 : (queue.queuedAheadOf(queueKey(organisation)) + 1) * serviceNanos / limit;
    if (nowNanos + waitNanos > deadlineNanos) {
      onFull.run();
      return;
    }
    queue.offer(
        queueKey(organisation),
        fair ? weight : 1,
        new PendingAcquire(organisation, deadlineNanos, listener));
    dispatch();
  }

  /** Runs an exchange on an acquired connection. */
  void exchangeOn(
      TargetConnection connection,
      String organisation,
      TargetRequest request,
      long deadlineNanos,
      Listener listener,
      boolean releaseAfter) {
    long sentNanos = System.nanoTime();
    long leftNanos = deadlineNanos - sentNanos;
    long timeoutMs =
        Math.max(1, AttemptTimeout.timeoutNanos(request.op(), leftNanos) / NANOS_PER_MS);
    connection
        .exchange(request, timeoutMs)
        .whenComplete(
            (answer, failure) ->
                worker.submit(
                    () -> {
                      if (answer != null) {
                        // A timeout is no sample of the service time.
                        long elapsedNanos = System.nanoTime() - sentNanos;
                        serviceNanos += SERVICE_TIME_SMOOTHING * (elapsedNanos - serviceNanos);
                      }
                      if (releaseAfter) {
                        release(connection, organisation);
                      }
                      finish(answer, sentNanos, listener);
                    }));
  }

  private static void finish(TargetAnswer answer, long sentNanos, Listener listener) {
    if (answer == null) {
      listener.onFailure(ExchangeFailure.NO_ANSWER);
    } else if (answer.status() == TargetStatus.TOO_MANY_CONNECTIONS) {
      listener.onFailure(ExchangeFailure.NOT_SENT);
    } else {
      listener.onAnswer(answer, sentNanos);
    }
  }

  /** Returns an acquired connection to the pool. */
  void release(TargetConnection connection, String organisation) {
    queue.release(queueKey(organisation));
    inUse.remove(connection);
    if (connection.usable() && openCount <= limit) {
      idle.addFirst(connection);
    } else {
      discard(connection);
    }
    dispatch();
  }

  /** Rejects queued requests whose deadline has passed and removes broken idle connections. */
  void tick(long nowNanos) {
    for (PendingAcquire pending : queue.removeIf(queued -> queued.deadlineNanos - nowNanos <= 0)) {
      pending.listener.accept(null);
    }
    idle.removeIf(
        connection -> {
          boolean broken = !connection.usable();
          openCount -= broken ? 1 : 0;
          return broken;
        });
    dispatch();
  }

  private void dispatch() {
    while (queue.size() > 0 && (!idle.isEmpty() || openCount < limit)) {
      PendingAcquire next = queue.poll();
      if (next == null) {
        return;
      }
      TargetConnection connection = pollIdle();
      if (connection != null) {
        handOver(connection, next);
      } else {
        openFor(next);
      }
    }
  }

  private TargetConnection pollIdle() {
    while (!idle.isEmpty()) {
      TargetConnection connection = idle.removeFirst();
      if (connection.usable()) {
        return connection;
      }
      openCount--;
    }
    return null;
  }

  private void openFor(PendingAcquire next) {
    openCount++;
    connector
        .open(address)
        .whenComplete(
            (connection, failure) ->
                worker.submit(
                    () -> {
                      if (connection == null) {
                        openCount--;
                        queue.release(queueKey(next.organisation));
                        next.listener.accept(null);
                      } else {
                        handOver(connection, next);
                      }
                    }));
  }

  private void handOver(TargetConnection connection, PendingAcquire next) {
    inUse.add(connection);
    next.listener.accept(connection);
  }

  private String queueKey(String organisation) {
    return fair ? organisation : SHARED_QUEUE_KEY;
  }

  private void discard(TargetConnection connection) {
    connection.close();
    openCount--;
  }
}
