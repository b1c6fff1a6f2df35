package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.core.connection.ConnectionEvictor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A target's slots and the home's connections to it.
 *
 * <p>Invariant: no more connections than allowed. Thread safety: confined to one thread.
 */
final class SimulatedTarget {
  /** Work in a slot or in the target's own queue. */
  record Work(double ms, Runnable done) {}

  private final int slots;
  private final int maxConnections;
  private final ConnectionEvictor keeping;
  private final List<String> idle = new ArrayList<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private int connections;
  private int running;
  private int sent;
  private double queuedMs;

  SimulatedTarget(int slots, int maxConnections, ConnectionEvictor keeping) {
    this.slots = slots;
    this.maxConnections = maxConnections;
    this.keeping = keeping;
  }

  /** Returns how many statements were sent and not answered. */
  int statementsInFlight() {
    return sent;
  }

  /** Returns slot time of all that was sent and has not ended, as far as known. */
  double pendingMs() {
    return queuedMs;
  }

  /** Returns whether a statement of any organisation can be sent. */
  boolean hasAvailableConnection() {
    return !idle.isEmpty() || connections < maxConnections;
  }

  /** Takes a connection; returns whether it has to be opened first. */
  boolean acquireConnection(String organisation, double nowMs) {
    long nowNanos = (long) (nowMs * 1e6);
    keeping.recordUse(organisation, nowNanos);
    sent++;
    int at = idle.lastIndexOf(organisation);
    if (at >= 0) {
      idle.remove(at);
      return false;
    }
    if (connections == maxConnections) {
      idle.remove(keeping.selectVictim(idle, nowNanos));
    } else {
      connections++;
    }
    return true;
  }

  void releaseConnection(String organisation) {
    sent--;
    idle.add(organisation);
  }

  /** Queues work; the caller runs what {@link #startNext} gives. */
  void enqueue(Work work) {
    queuedMs += work.ms();
    queue.addLast(work);
  }

  /** Returns work for a free slot, or null. */
  Work startNext() {
    if (running >= slots || queue.isEmpty()) {
      return null;
    }
    running++;
    return queue.pollFirst();
  }

  void complete(Work work) {
    running--;
    queuedMs -= work.ms();
  }
}
