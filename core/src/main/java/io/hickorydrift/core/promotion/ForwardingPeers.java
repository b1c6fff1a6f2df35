package io.hickorydrift.core.promotion;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Chooses a peer to forward statements to a primary that this instance cannot reach. Load pattern:
 * a primary is unreachable from some instances for seconds, while others reach it. Forwarding costs
 * one hop; a failover would delay all callers for its duration and lose the commits that no replica
 * has received.
 *
 * <p>Thread safety: stateless.
 */
public final class ForwardingPeers {
  private ForwardingPeers() {}

  /**
   * Returns a peer that can reach {@code primary}, or null.
   *
   * @param self id of this instance; instances spread over the peers by rendezvous hashing
   * @param reports recent report of each peer about the group's primary, by peer
   */
  public static String choose(String self, String primary, Map<String, PrimaryReport> reports) {
    List<String> reaching = new ArrayList<>();
    reports.forEach(
        (peer, report) -> {
          if (report.primary().equals(primary) && report.unreachableMs() == 0) {
            reaching.add(peer);
          }
        });
    return reaching.isEmpty() ? null : Rendezvous.rank(self, reaching).get(0);
  }
}
