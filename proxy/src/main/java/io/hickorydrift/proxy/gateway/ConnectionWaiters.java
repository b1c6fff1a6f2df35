package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.admission.PriorityWaitQueue;
import io.hickorydrift.core.scheduling.FairWaitQueue;
import io.hickorydrift.core.scheduling.WaitQueue;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The requests that wait for a connection to one target: in fair order if the group has urgent
 * work, else by priority and arrival.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class ConnectionWaiters {
  private static final int HIGHEST_PRIORITY = 0;

  /**
   * A request and its listener.
   *
   * @param forStatement whether a caller's statement waits, rather than an exchange of the instance
   * @param predictedNanos predicted wait
   */
  record Waiter(
      WaitingRequest request, AcquireListener listener, boolean forStatement, long predictedNanos) {
    String organisation() {
      return request.organisation();
    }
  }

  private final EventLoop loop;
  private final BooleanSupplier urgent;
  private WaitQueue<Waiter> queue = new PriorityWaitQueue<>();
  private boolean fair;

  ConnectionWaiters(EventLoop loop, BooleanSupplier urgent) {
    this.loop = loop;
    this.urgent = urgent;
  }

  /** Returns whether the group has urgent work, so that its connections are shared fairly. */
  boolean isFair() {
    return fair;
  }

  /** Changes the order if the declaration has given the group urgent work, or taken it away. */
  void updateOrder() {
    if (fair == urgent.getAsBoolean()) {
      return;
    }
    List<Waiter> waiting = items();
    fair = !fair;
    queue = fair ? new FairWaitQueue<>() : new PriorityWaitQueue<>();
    waiting.forEach(waiter -> queue.add(waiter.request, waiter));
  }

  /** Returns a request for an exchange of the instance, which ages within its deadline. */
  Waiter ownExchange(String organisation, long deadlineNanos, AcquireListener listener) {
    long nowNanos = loop.nowNanos();
    long objectiveNanos = Math.max(0, deadlineNanos - nowNanos);
    WaitingRequest request =
        new WaitingRequest(
            organisation, HIGHEST_PRIORITY, nowNanos, nowNanos, objectiveNanos, deadlineNanos, 0);
    return new Waiter(request, listener, false, 0);
  }

  void add(Waiter waiter) {
    updateOrder();
    queue.add(waiter.request, waiter);
  }

  /** Removes the request of {@code listener}; returns false if it does not wait. */
  boolean cancel(AcquireListener listener) {
    for (Waiter waiter : items()) {
      if (waiter.listener == listener) {
        return remove(waiter);
      }
    }
    return false;
  }

  /** Removes and returns the first request of {@code organisation}, or null. */
  Waiter poll(String organisation) {
    return queue.poll(waiter -> waiter.organisation().equals(organisation), loop.nowNanos());
  }

  /** Removes {@code waiter}; returns false if it does not wait any more. */
  boolean remove(Waiter waiter) {
    return queue.poll(each -> each == waiter, loop.nowNanos()) != null;
  }

  /** Returns the first request of {@code organisation} for a statement, or null. */
  Waiter firstStatement(String organisation) {
    for (Waiter waiter : items()) {
      if (waiter.forStatement && waiter.organisation().equals(organisation)) {
        return waiter;
      }
    }
    return null;
  }

  /** Returns all requests, in order. */
  List<Waiter> items() {
    return queue.items(loop.nowNanos());
  }

  /** Returns how many requests would be served before {@code request}. */
  int countBefore(WaitingRequest request) {
    return queue.countBefore(request, loop.nowNanos());
  }

  /** Returns whether work of {@code priority} or a higher one waits. */
  boolean hasPriority(int priority) {
    return queue.count(waiter -> waiter.request.priority() <= priority) > 0;
  }

  int count(String organisation) {
    return queue.count(waiter -> waiter.organisation().equals(organisation));
  }

  int count() {
    return queue.count(any -> true);
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  void refuseAll(String reason) {
    for (Waiter next = pollAny(); next != null; next = pollAny()) {
      next.listener.refused(reason);
    }
  }

  private Waiter pollAny() {
    return queue.poll(any -> true, loop.nowNanos());
  }

  void refuseOne(String organisation, String reason) {
    Waiter next = poll(organisation);
    if (next != null) {
      next.listener.refused(reason);
    }
  }

  void refuseExpired(long nowNanos) {
    for (Waiter late : queue.removeExpired(nowNanos)) {
      late.listener.refused("no connection in time");
    }
  }
}
