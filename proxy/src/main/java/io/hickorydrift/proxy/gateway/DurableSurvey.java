package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.promotion.DurableChoice;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Queries the positions of a group's targets again and again, and passes them to a {@link
 * DurableChoice}. Answers count however late they are; a target whose answer takes long is queried
 * on a further connection, since the first one may be dead.
 *
 * <p>Invariant: at most {@value #MAX_OUTSTANDING} queries to a target are under way. Thread safety:
 * confined to the loop's thread.
 */
final class DurableSurvey {
  private static final int MAX_OUTSTANDING = 3;
  // A target with a full queue answers after several of its statements.
  private static final long QUERY_TIMEOUT_MS = 2_000;
  private static final long SLOW_ANSWER_NANOS = 400_000_000L;
  // The position of a replica that catches up changes with each query.
  private static final long REPEAT_NANOS = 80_000_000L;

  /** Receives the reports. */
  interface Listener {
    /** Receives a report that was requested at {@code sentNanos}; the choice knows its position. */
    void reported(TargetState target, TargetReport report, long sentNanos);
  }

  /** The queries to one target. */
  private static final class Queries {
    private int outstanding;
    private long lastNanos;
  }

  private final EventLoop loop;
  private final PositionQueries queries;
  private final DurableChoice choice;
  private final Listener listener;
  private final Map<TargetState, Queries> queriesByTarget = new HashMap<>();
  private boolean ended;

  DurableSurvey(EventLoop loop, PositionQueries queries, DurableChoice choice, Listener listener) {
    this.loop = loop;
    this.queries = queries;
    this.choice = choice;
    this.listener = listener;
  }

  DurableChoice choice() {
    return choice;
  }

  /** Ignores the answers that are still to come. */
  void end() {
    ended = true;
  }

  boolean isEnded() {
    return ended;
  }

  /** Queries those of {@code targets} whose next query is due. */
  void queryDue(Collection<TargetState> targets) {
    long nowNanos = loop.nowNanos();
    queriesByTarget.keySet().retainAll(targets);
    for (TargetState target : targets) {
      Queries sent = queriesByTarget.get(target);
      if (sent == null) {
        sent = new Queries();
        queriesByTarget.put(target, sent);
        query(target, sent);
      } else {
        long pauseNanos = sent.outstanding == 0 ? REPEAT_NANOS : SLOW_ANSWER_NANOS;
        boolean due = nowNanos - sent.lastNanos >= pauseNanos;
        if (due && sent.outstanding < MAX_OUTSTANDING) {
          query(target, sent);
        }
      }
    }
  }

  private void query(TargetState target, Queries sent) {
    long sentNanos = loop.nowNanos();
    sent.outstanding++;
    sent.lastNanos = sentNanos;
    queries.request(
        target,
        new TargetCommand.Report(),
        QUERY_TIMEOUT_MS,
        report -> {
          sent.outstanding--;
          if (report != null && report.received() != null && !ended) {
            choice.report(target, report.received(), sentNanos, loop.nowNanos());
            listener.reported(target, report, sentNanos);
          }
        });
  }
}
