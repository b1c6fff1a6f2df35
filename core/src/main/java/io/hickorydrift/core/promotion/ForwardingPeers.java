package io.hickorydrift.core.promotion;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Chooses a peer that runs statements at a primary which this instance cannot reach. Load pattern:
 * a primary is cut off from some instances for seconds, while others reach it; a detour costs one
 * hop, a change of primary would cost everyone its time and the commits not yet received.
 *
 * <p>Thread safety: stateless.
 */
public final class ForwardingPeers {
  private ForwardingPeers() {}

  /**
   * Returns a peer that reaches {@code primary}, or null.
   *
   * @param self this instance, so that instances spread over the peers
   * @param reports what each peer that answered lately says of the group's primary
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
