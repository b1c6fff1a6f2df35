package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.OutBuffer;

/**
 * Writes messages to peers and counts their bytes by type.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PeerTraffic {
  private final Metrics metrics;
  private final FleetMembership fleet;

  PeerTraffic(Metrics metrics, FleetMembership fleet) {
    this.metrics = metrics;
    this.fleet = fleet;
  }

  void write(OutBuffer out, String peer, PeerMessage message) {
    int bytes = PeerMessageCodec.write(out, message);
    metrics.recordPeerBytes(message.getClass().getSimpleName(), !fleet.isInOwnDomain(peer), bytes);
  }
}
