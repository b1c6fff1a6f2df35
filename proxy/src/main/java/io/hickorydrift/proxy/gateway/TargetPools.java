package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.ReadPlacement;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.TargetCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * The connection pools of this instance, one for each target. Each is limited to the instance's
 * share of the connections that a target allows the fleet.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class TargetPools {
  private static final int REPORT_CONNECTIONS = 1;

  private static final WaitObserver NO_OBSERVER = (priority, waitedNanos, predictedNanos) -> {};
  // An instance that ran a group's statements while no home was reachable keeps its connections
  // for the next such moment, but not for good: those of a whole fleet exceed a target's limit.
  private static final long MAX_IDLE_NANOS = 5_000_000_000L;

  private final EventLoop loop;
  private final TargetCodec codec;
  private final HomeRouter homes;
  private final Declarations declarations;
  private WaitObserver observer = NO_OBSERVER;
  private AnswerObserver answerObserver = AnswerObserver.NONE;
  private final Map<TargetState, TargetPool> pools = new HashMap<>();
  // Pools of leaving targets, which run no statements.
  private final Map<TargetState, TargetPool> reportPools = new HashMap<>();

  TargetPools(EventLoop loop, TargetCodec codec, HomeRouter homes, Declarations declarations) {
    this.loop = loop;
    this.codec = codec;
    this.homes = homes;
    this.declarations = declarations;
  }

  /** Sets the observer of the waits of statements. */
  void observeWaits(WaitObserver newObserver) {
    observer = newObserver;
  }

  /** Sets the observer of answers that do not belong to the command that awaits one. */
  void observeAnswers(AnswerObserver newObserver) {
    answerObserver = newObserver;
  }

  TargetPool poolFor(TargetState target) {
    return pools.computeIfAbsent(
        target,
        key ->
            new TargetPool(
                loop,
                codec,
                target,
                () -> budget(target),
                () -> declarations.isUrgent(target.entry().group()),
                observer,
                answerObserver));
  }

  /**
   * Returns the pool for connections on which reports that confirm commits are requested. That of
   * an evacuated target has one connection and is used for nothing else. A draining target confirms
   * nothing: the others do so without a further connection.
   */
  TargetPool poolForReports(TargetState target) {
    return target.isEvacuated() ? reportPool(target) : poolFor(target);
  }

  /**
   * Returns the pool for connections on which the targets are surveyed for a promotion. That of a
   * leaving target, whose other pool is drained, has one connection.
   */
  TargetPool poolForSurvey(TargetState target) {
    return target.isLeaving() ? reportPool(target) : poolFor(target);
  }

  private TargetPool reportPool(TargetState target) {
    return reportPools.computeIfAbsent(
        target,
        key ->
            new TargetPool(
                loop,
                codec,
                target,
                () -> REPORT_CONNECTIONS,
                () -> false,
                NO_OBSERVER,
                answerObserver));
  }

  /**
   * Requests a target's report on {@code connection} and then releases the connection. {@code
   * onReport} receives null if there is no report by {@code deadlineNanos}.
   */
  void requestReport(
      TargetConnection connection, long deadlineNanos, Consumer<TargetReport> onReport) {
    connection.run(
        new TargetCommand.Report(),
        deadlineNanos,
        reply -> {
          connection.pool().release(connection);
          onReport.accept(decodeReport(reply));
        });
  }

  /**
   * Sends {@code command}, which is answered with a report, and releases the connection as {@link
   * #requestReport} does, for a decision that rests on the time of the request: a report that may
   * be one from before, sent again, counts as none, and its connection is closed, since the next
   * report on it might be no different.
   */
  void requestCurrentReport(
      TargetConnection connection,
      TargetCommand command,
      long deadlineNanos,
      ReportListener listener) {
    connection.run(
        command,
        deadlineNanos,
        reply -> {
          boolean outdated = reply.mayBeRepeat() && connection.target().repeatsAnswers();
          if (outdated) {
            connection.close("report may be an earlier one");
          }
          connection.pool().release(connection);
          if (!outdated && reply.failedFor(FailureCode.MALFORMED)) {
            listener.unsupported();
          } else {
            listener.answered(outdated ? null : decodeReport(reply));
          }
        });
  }

  private TargetReport decodeReport(TargetReply reply) {
    boolean reported = reply.ok() && !reply.rows().isEmpty();
    return reported ? codec.decodeReport(reply.rows().get(0)) : null;
  }

  /**
   * Returns what the placement of a read of {@code organisation} needs to know of the pools. A read
   * that is not {@code repeatable} probes no target.
   */
  ReadPlacement.Connections connectionsOf(String organisation, boolean repeatable) {
    return new ReadPlacement.Connections() {
      @Override
      public boolean hasIdle(TargetState target) {
        return poolFor(target).hasIdle(organisation);
      }

      @Override
      public boolean mayProbe(TargetState target) {
        return repeatable && poolFor(target).isFree(organisation);
      }

      @Override
      public boolean wouldWait(TargetState target) {
        return target.outstanding() >= target.entry().slots()
            || !poolFor(target).dispatch().hasRoom();
      }
    };
  }

  private int budget(TargetState target) {
    return homes.connectionBudget(target.entry().group(), target.entry().failureDomain());
  }

  /** Closes the pool of a target that was removed or has restarted. */
  void onTargetRemoved(TargetState target) {
    TargetPool pool = pools.remove(target);
    if (pool != null) {
      pool.close();
    }
    closeReportPool(target);
  }

  private void closeReportPool(TargetState target) {
    TargetPool pool = reportPools.remove(target);
    if (pool != null) {
      pool.close();
    }
  }

  /** Drains the pool of a target that is leaving, and ends that if the target stays after all. */
  private static void drainIfLeaving(TargetPool pool) {
    if (pool.target().isLeaving()) {
      pool.drain();
    } else {
      pool.resume();
    }
  }

  void tick(long nowNanos) {
    for (TargetPool pool : List.copyOf(pools.values())) {
      drainIfLeaving(pool);
      pool.tick(nowNanos);
      if (!homes.keepsConnections(pool.target().entry().group())) {
        pool.closeIdleSince(nowNanos - MAX_IDLE_NANOS);
      }
    }
    for (TargetPool pool : List.copyOf(reportPools.values())) {
      if (pool.target().isLeaving()) {
        pool.tick(nowNanos);
      } else {
        closeReportPool(pool.target());
      }
    }
  }

  /** Returns the ids of the targets to which this instance cannot open connections. */
  List<String> unreachableTargets() {
    List<String> ids = new ArrayList<>();
    for (TargetPool pool : pools.values()) {
      if (pool.isUnreachable() || pool.target().isRuledOut()) {
        ids.add(pool.target().entry().id());
      }
    }
    return ids;
  }

  /**
   * Prefers other targets to those that a peer cannot reach, unless this instance has just received
   * data from them.
   */
  void avoidUnreachable(List<String> ids, long nanos) {
    if (ids.isEmpty()) {
      return;
    }
    long nowNanos = loop.nowNanos();
    for (TargetPool pool : pools.values()) {
      if (ids.contains(pool.target().entry().id()) && !pool.receivedSince(nowNanos - nanos)) {
        pool.target().avoidUntil(nowNanos + nanos);
      }
    }
  }

  /** Returns the number of connections to all targets, open or opening. */
  int connectionCount() {
    int count = 0;
    for (TargetPool pool : pools.values()) {
      count += pool.size();
    }
    for (TargetPool pool : reportPools.values()) {
      count += pool.size();
    }
    return count;
  }

  /** Returns a figure of the pools of groups with urgent work, by target. */
  Map<String, Double> figures(ToDoubleFunction<TargetPool> figure) {
    Map<String, Double> figures = new HashMap<>();
    for (TargetPool pool : pools.values()) {
      if (declarations.isUrgent(pool.target().entry().group())) {
        figures.put(pool.target().entry().id(), figure.applyAsDouble(pool));
      }
    }
    return figures;
  }

  void close() {
    List.copyOf(pools.values()).forEach(TargetPool::close);
    List.copyOf(reportPools.values()).forEach(TargetPool::close);
  }
}
