package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.TargetCodec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * This instance's connections to all targets, within its part of what a target allows to the fleet.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class TargetPools {

  private final EventLoop loop;
  private final TargetCodec codec;
  private final HomeRouter homes;
  private final Map<TargetState, TargetPool> pools = new HashMap<>();

  TargetPools(EventLoop loop, TargetCodec codec, HomeRouter homes) {
    this.loop = loop;
    this.codec = codec;
    this.homes = homes;
  }

  TargetPool poolFor(TargetState target) {
    return pools.computeIfAbsent(
        target, key -> new TargetPool(loop, codec, target, () -> budget(target)));
  }

  /**
   * Asks for a target's report on {@code connection} and gives the connection back. {@code
   * onReport} gets null if there is none in time.
   */
  void requestReport(
      TargetConnection connection, long untilNanos, Consumer<TargetReport> onReport) {
    connection.run(
        new TargetCommand.Report(),
        untilNanos,
        reply -> {
          poolFor(connection.target()).release(connection);
          boolean reported = reply.ok() && !reply.rows().isEmpty();
          onReport.accept(reported ? codec.decodeReport(reply.rows().get(0)) : null);
        });
  }

  private int budget(TargetState target) {
    return homes.connections(target.entry().group());
  }

  /** The target is gone or began anew. */
  void onTargetRemoved(TargetState target) {
    TargetPool pool = pools.remove(target);
    if (pool != null) {
      pool.close();
    }
  }

  /** Closes what is idle to targets that leave. */
  private static void drainLeaving(TargetPool pool) {
    if (pool.target().entry().draining()) {
      pool.drain();
    }
  }

  void tick(long nowNanos) {
    for (TargetPool pool : List.copyOf(pools.values())) {
      drainLeaving(pool);
      pool.tick(nowNanos);
    }
  }

  /** Returns how many connections there are to all targets. */
  int connectionCount() {
    int count = 0;
    for (TargetPool pool : pools.values()) {
      count += pool.size();
    }
    return count;
  }

  void close() {
    List.copyOf(pools.values()).forEach(TargetPool::close);
  }
}
