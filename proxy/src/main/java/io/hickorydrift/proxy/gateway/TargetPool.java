package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.admission.PriorityWaitQueue;
import io.hickorydrift.core.connection.ConnectionEvictor;
import io.hickorydrift.core.connection.EvictionPolicy;
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
 * This instance's connections to one target, each of one organisation. Whoever finds none waits,
 * the more urgent first; the idle connection least likely to be wanted soon makes room.
 *
 * <p>Invariant: never more connections than the budget allows, but for those in use when it shrank.
 * Thread safety: confined to the loop's thread.
 */
final class TargetPool {
  // A connection takes tens of milliseconds to open; a target that is silent for so long is dark.
  private static final long OPEN_TIMEOUT_MS = 1_000;
  private static final long RETRY_AFTER_FAILURE_NANOS = 150_000_000L;
  // Opening takes slot time from work: not all connections at once.
  private static final int MAX_OPENING = 2;
  private static final int DARK_AFTER_FAILURES = 2;
  private static final long HEARD_NANOS = 400_000_000L;

  /** Who waits for a connection. */
  interface AcquireListener {
    /** Takes a connection, to be given back with {@link #release}. */
    void acquired(TargetConnection connection);

    /** There is none in time; nothing was sent. */
    void refused(String reason);
  }

  private record Waiting(String organisation, AcquireListener waiter) {}

  private final EventLoop loop;
  private final TargetCodec codec;
  private final TargetState target;
  private final IntSupplier budget;
  private final List<TargetConnection> all = new ArrayList<>();
  private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
  private final ConnectionEvictor keeping = EvictionPolicy.LEAST_EXPECTED_COST.newEvictor();
  private final PriorityWaitQueue<Waiting> waiting = new PriorityWaitQueue<>();
  private long openNextNanos = Long.MIN_VALUE;
  private boolean closed;
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

  /** Returns how many connections there are, open or opening. */
  int size() {
    return all.size();
  }

  /** Returns whether the target said anything on any connection after {@code sinceNanos}. */
  boolean receivedSince(long sinceNanos) {
    for (TargetConnection connection : all) {
      if (connection.isOpen() && connection.lastReceivedNanos() - sinceNanos > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a connection of {@code organisation} waits to be used. */
  boolean hasIdle(String organisation) {
    for (TargetConnection connection : idle) {
      if (connection.organisation().equals(organisation)) {
        return true;
      }
    }
    return false;
  }

  /** Returns an idle connection without waiting, or null. */
  TargetConnection pollIdle() {
    return idle.pollLast();
  }

  /** Asks for a connection of {@code organisation}; the more urgent are served first. */
  void acquire(String organisation, int priority, long deadlineNanos, AcquireListener waiter) {
    if (closed) {
      waiter.refused("target left");
      return;
    }
    keeping.recordUse(organisation, loop.nowNanos());
    TargetConnection connection = takeIdle(organisation);
    if (connection != null) {
      waiter.acquired(connection);
      return;
    }
    if (failedOpens >= DARK_AFTER_FAILURES && !heardLately()) {
      waiter.refused("target is dark");
      probe(organisation);
      return;
    }
    waiting.add(priority, deadlineNanos, new Waiting(organisation, waiter));
    openForWaiters();
  }

  /** Gives a connection back; one that is not fit to be used again is closed. */
  void release(TargetConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    boolean unfit = connection.state() != SessionState.IDLE || connection.hasPendingCommands();
    if (unfit || closed || all.size() > budget.getAsInt()) {
      connection.close("not kept");
      return;
    }
    offer(connection);
  }

  private void offer(TargetConnection connection) {
    Waiting next = waiting.poll(each -> each.organisation.equals(connection.organisation()));
    if (next != null) {
      next.waiter.acquired(connection);
      return;
    }
    idle.addLast(connection);
    openForWaiters();
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

  private void openForWaiters() {
    if (openNextNanos != Long.MIN_VALUE && openNextNanos - loop.nowNanos() > 0) {
      return;
    }
    for (Waiting next : waiting.items()) {
      if (opening() >= MAX_OPENING) {
        return;
      }
      if (opening(next.organisation) >= waiters(next.organisation)) {
        continue;
      }
      if (all.size() >= budget.getAsInt() && !evictOne()) {
        return;
      }
      open(next.organisation);
    }
  }

  private boolean heardLately() {
    return receivedSince(loop.nowNanos() - HEARD_NANOS);
  }

  /** Opens one connection, to find out whether a dark target is back. */
  private void probe(String organisation) {
    boolean due = openNextNanos == Long.MIN_VALUE || openNextNanos - loop.nowNanos() <= 0;
    if (due && opening() == 0 && all.size() < budget.getAsInt()) {
      open(organisation);
    }
  }

  private void open(String organisation) {
    all.add(new TargetConnection(loop, codec, target, organisation, this, OPEN_TIMEOUT_MS));
  }

  private boolean evictOne() {
    if (idle.isEmpty()) {
      return false;
    }
    List<TargetConnection> candidates = new ArrayList<>(idle);
    List<String> organisations = new ArrayList<>(candidates.size());
    candidates.forEach(connection -> organisations.add(connection.organisation()));
    TargetConnection victim = candidates.get(keeping.selectVictim(organisations, loop.nowNanos()));
    idle.remove(victim);
    evicting = true;
    victim.close("evicted");
    evicting = false;
    return true;
  }

  private int opening() {
    int count = 0;
    for (TargetConnection connection : all) {
      count += connection.isOpen() ? 0 : 1;
    }
    return count;
  }

  private int opening(String organisation) {
    int count = 0;
    for (TargetConnection connection : all) {
      if (!connection.isOpen() && connection.organisation().equals(organisation)) {
        count++;
      }
    }
    return count;
  }

  private int waiters(String organisation) {
    int count = 0;
    for (Waiting each : waiting.items()) {
      if (each.organisation.equals(organisation)) {
        count++;
      }
    }
    return count;
  }

  void opened(TargetConnection connection) {
    failedOpens = 0;
    if (closed) {
      connection.close("target left");
      return;
    }
    offer(connection);
    openForWaiters();
  }

  void openFailed(TargetConnection connection, FailureCode code, String reason) {
    all.remove(connection);
    failedOpens++;
    openNextNanos = loop.nowNanos() + RETRY_AFTER_FAILURE_NANOS;
    target.avoidUntil(openNextNanos);
    Logger.info(
        "event=open_failed target={} organisation={} code={} reason=\"{}\"",
        target.entry().id(),
        connection.organisation(),
        code,
        reason);
    refuseOne(connection.organisation(), "cannot connect: " + reason);
  }

  private void refuseOne(String organisation, String reason) {
    Waiting next = waiting.poll(each -> each.organisation.equals(organisation));
    if (next != null) {
      next.waiter.refused(reason);
    }
  }

  void closed(TargetConnection connection) {
    all.remove(connection);
    idle.remove(connection);
    if (!waiting.isEmpty() && !closed && !evicting) {
      openForWaiters();
    }
  }

  /** Ends waits and exchanges that are overdue. */
  void tick(long nowNanos) {
    for (TargetConnection connection : List.copyOf(all)) {
      connection.checkDeadline(nowNanos);
    }
    for (Waiting late : waiting.removeExpired(nowNanos)) {
      late.waiter.refused("no connection in time");
    }
    if (!waiting.isEmpty()) {
      openForWaiters();
    }
  }

  /** Closes what is not in use; the rest is closed when it is given back. */
  void drain() {
    closed = true;
    for (Waiting next = waiting.poll(any -> true); next != null; next = waiting.poll(any -> true)) {
      next.waiter.refused("target leaves");
    }
    while (!idle.isEmpty()) {
      idle.pollFirst().close("target leaves");
    }
  }

  /** Closes all. */
  void close() {
    drain();
    for (TargetConnection connection : List.copyOf(all)) {
      connection.close("target gone");
    }
  }
}
