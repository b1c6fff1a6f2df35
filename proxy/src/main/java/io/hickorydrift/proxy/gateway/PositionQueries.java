package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Requests reports of targets, such as the position that they have received, on any connection that
 * is idle.
 *
 * <p>Invariant: each query is answered once, by its deadline. Thread safety: confined to the loop's
 * thread.
 */
final class PositionQueries {
  private final EventLoop loop;
  private final TargetPools pools;
  private final Declarations declarations;

  PositionQueries(EventLoop loop, TargetPools pools, Declarations declarations) {
    this.loop = loop;
    this.pools = pools;
    this.declarations = declarations;
  }

  /**
   * Queries the position that {@code target} has received; {@code onPosition} gets null if it does
   * not report one within {@code timeoutMs}.
   */
  void query(TargetState target, long timeoutMs, Consumer<Position> onPosition) {
    request(
        target,
        new TargetCommand.Report(),
        timeoutMs,
        report -> onPosition.accept(report == null ? null : report.received()));
  }

  /** Sends a command that is answered with a report within {@code timeoutMs}. */
  void request(TargetState target, TargetCommand command, long timeoutMs, ReportListener answer) {
    long deadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    AcquireListener listener =
        new AcquireListener() {
          @Override
          public void acquired(TargetConnection connection) {
            pools.requestCurrentReport(connection, command, deadlineNanos, answer);
          }

          @Override
          public void refused(String reason) {
            answer.answered(null);
          }
        };
    pools.poolForSurvey(target).acquireAny(declarations.anyOrganisation(), deadlineNanos, listener);
  }
}
