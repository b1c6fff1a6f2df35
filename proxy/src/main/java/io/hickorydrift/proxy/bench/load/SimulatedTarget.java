package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.core.connection.ConnectionEvictor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated target: its slots, and the home's connections to it.
 *
 * <p>Invariant: at most the maximum number of connections is open.
 *
 * <p>Thread safety: confined to one thread.
 */
final class SimulatedTarget {
  /** Work that runs in a slot or is queued at the target. */
  record Work(double ms, Runnable done) {}

  private final int slots;
  private final int maxConnections;
  private final ConnectionEvictor evictor;
  private final List<String> idleConnections = new ArrayList<>();
  private final ArrayDeque<Work> queuedWork = new ArrayDeque<>();
  private int openConnections;
  private int busySlots;
  private int statementsInFlight;
  private double pendingMs;

  SimulatedTarget(int slots, int maxConnections, ConnectionEvictor evictor) {
    this.slots = slots;
    this.maxConnections = maxConnections;
    this.evictor = evictor;
  }

  /** Returns the number of statements in flight. */
  int statementsInFlight() {
    return statementsInFlight;
  }

  /**
   * Returns the slot time of all enqueued work that has not completed. A statement that waits for
   * its connection to open is not included.
   */
  double pendingMs() {
    return pendingMs;
  }

  /** Returns whether a connection is idle or can be opened. */
  boolean hasAvailableConnection() {
    return !idleConnections.isEmpty() || openConnections < maxConnections;
  }

  /** Acquires a connection and returns whether it has to be opened first. */
  boolean acquireConnection(String organisation, double nowMs) {
    long nowNanos = (long) (nowMs * 1e6);
    evictor.recordUse(organisation, nowNanos);
    statementsInFlight++;
    int index = idleConnections.lastIndexOf(organisation);
    if (index >= 0) {
      idleConnections.remove(index);
      return false;
    }
    if (openConnections == maxConnections) {
      idleConnections.remove(evictor.selectVictim(idleConnections, nowNanos));
    } else {
      openConnections++;
    }
    return true;
  }

  void releaseConnection(String organisation) {
    statementsInFlight--;
    idleConnections.add(organisation);
  }

  /** Queues work; the caller runs the work that {@link #startNext} returns. */
  void enqueue(Work work) {
    pendingMs += work.ms();
    queuedWork.addLast(work);
  }

  /** Assigns the next queued work to a free slot and returns it, or null if there is none. */
  Work startNext() {
    if (busySlots >= slots || queuedWork.isEmpty()) {
      return null;
    }
    busySlots++;
    return queuedWork.pollFirst();
  }

  void complete(Work work) {
    busySlots--;
    pendingMs -= work.ms();
  }
}
