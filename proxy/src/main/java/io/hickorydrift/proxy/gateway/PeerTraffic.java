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
  private static final int MAX_SHORT_TEXT_LENGTH = 16 * 1024;
  // A channel holds 4 MiB; a long message may take 2 MiB of them.
  private static final int MAX_UNSENT_BEFORE_LONG_BYTES = 1024 * 1024;

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

  /**
   * Returns whether a message with texts of that length may be added to {@code unsentBytes}. Long
   * messages are turned away early, since a link whose peer does not take its bytes is closed, with
   * the statements of others.
   */
  static boolean hasRoomFor(long textLength, int unsentBytes) {
    return textLength <= MAX_SHORT_TEXT_LENGTH || unsentBytes <= MAX_UNSENT_BEFORE_LONG_BYTES;
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
