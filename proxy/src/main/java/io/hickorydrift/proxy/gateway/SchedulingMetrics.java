package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;

/**
 * Figures of the statements that targets run, and of the targets of groups with urgent work.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SchedulingMetrics {
  private final EventLoop loop;
  private final TargetPools pools;
  private final StartSteps steps;

  SchedulingMetrics(EventLoop loop, TargetPools pools, StartSteps steps) {
    this.steps = steps;
    this.loop = loop;
    this.pools = pools;
  }

  void register(Metrics metrics) {
    pools.observeWaits(
        new WaitObserver() {
          @Override
          public void served(int priority, long waitedNanos, long predictedNanos) {
            metrics.recordWait(priority, waitedNanos);
            metrics.recordPredictionError(predictedNanos - waitedNanos);
          }

          @Override
          public void answered() {
            steps.record(StartSteps.Step.SERVING);
          }
        });
    metrics.registerTargetGauge(
        "waiting_requests",
        "Requests that wait for a connection to the target",
        () -> pools.figures(TargetPool::waitingCount));
    metrics.registerTargetGauge(
        "target_recovering",
        "Whether the target works through the requests that an outage has left (1)",
        () -> pools.figures(pool -> pool.waits().isRecovering() ? 1 : 0));
    metrics.registerTargetGauge(
        "statement_window",
        "Maximum number of statements in flight at the target",
        () -> pools.figures(pool -> pool.dispatch().window().size()));
    metrics.registerTargetGauge(
        "statements_in_flight",
        "Places taken in the target's window",
        () -> pools.figures(pool -> pool.dispatch().window().inFlight()));
    metrics.registerTargetGauge(
        "waiting_transactions",
        "Open transactions whose statements wait for a place in the target's window",
        () -> pools.figures(pool -> pool.dispatch().gatedCount()));
    metrics.registerTargetGauge(
        "idle_transactions",
        "Connections to the target held by transactions that run no statement",
        () -> pools.figures(pool -> pool.held().idleCount(loop.nowNanos())));
  }
}
