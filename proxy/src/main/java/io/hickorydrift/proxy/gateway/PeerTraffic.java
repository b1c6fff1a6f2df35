package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.Proximity;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.OutBuffer;

/**
 * Writes messages to peers and counts their bytes by type, and forwarded statements by distance.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PeerTraffic {
  private final Metrics metrics;
  private final FleetMembership fleet;
  private final String ownDomain;
  private final Regions regions;

  PeerTraffic(Metrics metrics, FleetMembership fleet, String ownDomain, Regions regions) {
    this.metrics = metrics;
    this.fleet = fleet;
    this.ownDomain = ownDomain;
    this.regions = regions;
  }

  /** Counts a statement that waits until a ping has shown that the link works. */
  void recordHeldForPing() {
    metrics.recordHeldForPing();
  }

  void write(OutBuffer out, String peer, PeerMessage message) {
    int bytes = PeerMessageCodec.write(out, message);
    metrics.recordPeerBytes(message.getClass().getSimpleName(), !fleet.isInOwnDomain(peer), bytes);
    if (message instanceof PeerMessage.Forward) {
      String domain = fleet.failureDomainOf(peer);
      metrics.recordForwarded(Proximity.between(ownDomain, domain, regions).label());
    }
  }
}
