package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.ReadPlacement;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.CallerCodec;

/**
 * What sessions share.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
record GatewayContext(
    EventLoop loop,
    CallerCodec callerCodec,
    Declarations declarations,
    Directory directory,
    ReadPlacement placement,
    Pools pools,
    RateLimits limits,
    RequestLog log,
    Metrics metrics,
    Homes homes,
    Confirmations confirmations) {

  /** Returns the connections to {@code target}. */
  TargetPool pool(TargetState target) {
    return pools.of(target);
  }

  /** Notes a position that a primary showed as such. */
  void sighted(GroupState group, Reply reply) {
    if (reply.position() != null) {
      group.sightings().add(reply.position(), reply.sentNanos());
    }
  }
}
