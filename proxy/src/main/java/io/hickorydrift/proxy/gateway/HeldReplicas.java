package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.promotion.ReplicaHold;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Pauses the replicas that a {@link ReplicaHold} names, and lets them receive again.
 *
 * <p>Invariant: once replicas receive again, none is paused any more; one whose pause was not
 * answered may be, until {@link PausedReplicaWatch} finds it. Thread safety: confined to the loop's
 * thread.
 */
final class HeldReplicas {
  // As for queries of positions: a target with a full queue answers after several statements, and
  // a connection may be dead.
  private static final long TIMEOUT_MS = 2_000;
  private static final long SLOW_ANSWER_NANOS = 400_000_000L;
  private static final int MAX_OUTSTANDING = 3;

  /** The commands to one replica that are not answered. */
  private static final class Commands {
    private int outstanding;
    private long lastNanos;
  }

  private final EventLoop loop;
  private final PositionQueries queries;
  private final String group;
  private final ReplicaHold hold;
  private final Runnable onPaused;
  private final Map<TargetState, Commands> commandsByTarget = new HashMap<>();
  private boolean ended;
  private boolean resumed;

  /** Creates a hold under which nothing is paused; {@code onPaused} is called for each replica. */
  HeldReplicas(
      EventLoop loop, PositionQueries queries, String group, ReplicaHold hold, Runnable onPaused) {
    this.loop = loop;
    this.queries = queries;
    this.group = group;
    this.hold = hold;
    this.onPaused = onPaused;
  }

  ReplicaHold hold() {
    return hold;
  }

  /** Pauses as many of {@code others} as are missing to {@code needed}. */
  void pauseDue(Collection<TargetState> others, int needed) {
    if (ended) {
      return;
    }
    long nowNanos = loop.nowNanos();
    for (TargetState replica : hold.due(others, needed)) {
      Commands sent = commandsByTarget.computeIfAbsent(replica, key -> new Commands());
      boolean due = sent.outstanding == 0 || nowNanos - sent.lastNanos >= SLOW_ANSWER_NANOS;
      if (due && sent.outstanding < MAX_OUTSTANDING) {
        pause(replica, sent);
      }
    }
  }

  private void pause(TargetState replica, Commands sent) {
    long sentNanos = loop.nowNanos();
    sent.outstanding++;
    sent.lastNanos = sentNanos;
    queries.request(
        replica,
        new TargetCommand.Pause(hold.pauseTerm()),
        TIMEOUT_MS,
        new ReportListener() {
          @Override
          public void answered(TargetReport report) {
            sent.outstanding--;
            log("replica_paused", group, replica, report);
            onPauseAnswered(replica, report, sentNanos);
          }

          @Override
          public void unsupported() {
            sent.outstanding--;
            Logger.warn(
                "event=replica_cannot_pause group={} target={}", group, replica.entry().id());
            hold.recordUnsupported(replica);
          }
        });
  }

  private void onPauseAnswered(TargetState replica, TargetReport report, long sentNanos) {
    if (report == null) {
      hold.recordUnanswered(replica);
    } else {
      hold.report(replica, report, sentNanos, loop.nowNanos());
    }
    if (resumed) {
      resume(queries, group, replica);
    } else if (report != null && !ended) {
      onPaused.run();
    }
  }

  /** Pauses no further replica and leaves the others as they are. */
  void end() {
    ended = true;
  }

  /** Lets all replicas receive again. */
  void resumeAll() {
    ended = true;
    resumed = true;
    hold.paused().forEach(each -> resume(queries, group, each));
  }

  /** Lets {@code replica} receive again. */
  static void resume(PositionQueries queries, String group, TargetState replica) {
    queries.request(
        replica,
        new TargetCommand.Resume(),
        TIMEOUT_MS,
        report -> log("replica_resumed", group, replica, report));
  }

  private static void log(String event, String group, TargetState replica, TargetReport report) {
    Logger.info(
        "event={} group={} target={} received={} paused_term={}",
        event,
        group,
        replica.entry().id(),
        report == null ? "unknown" : report.received(),
        report == null ? "unknown" : report.pausedTerm());
  }
}
