package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;

/**
 * Gauges of the targets of groups with urgent work.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SchedulingMetrics {
  private final EventLoop loop;
  private final TargetPools pools;

  SchedulingMetrics(EventLoop loop, TargetPools pools) {
    this.loop = loop;
    this.pools = pools;
  }

  void register(Metrics metrics) {
    metrics.registerTargetGauge(
        "waiting_requests",
        "Requests that wait for a connection to the target",
        () -> pools.figures(TargetPool::waitingCount));
    metrics.registerTargetGauge(
        "idle_transactions",
        "Connections to the target held by transactions that run no statement",
        () -> pools.figures(pool -> pool.held().idleCount(loop.nowNanos())));
  }
}
