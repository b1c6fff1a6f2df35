package io.hickorydrift.proxy.control;

import io.hickorydrift.proxy.home.GroupStatus;
import java.util.List;
import java.util.Map;

/**
 * Status of an instance and its peers, as shown to operators.
 *
 * @param instance its id
 * @param failureDomain its failure domain
 * @param ready whether it accepts callers' requests
 * @param configEntry last configuration entry in force here
 * @param slot fleet-wide number of its slot, -1 for none
 * @param usableShare fraction of each limit usable here
 * @param storeSilentMs time since the store's last successful response, in milliseconds
 * @param peers live peers
 * @param groups groups whose home it is
 */
public record InstanceStatus(
    String instance,
    String failureDomain,
    boolean ready,
    long configEntry,
    int slot,
    double usableShare,
    long storeSilentMs,
    List<PeerStatus> peers,
    Map<String, GroupStatus> groups) {

  /**
   * Status of a peer, from its last heartbeat or digest.
   *
   * @param instance its id
   * @param failureDomain its failure domain
   * @param configEntry last configuration entry in force there
   * @param slot fleet-wide number of its slot, -1 for none
   * @param leaving whether it is stopping
   */
  public record PeerStatus(
      String instance, String failureDomain, long configEntry, int slot, boolean leaving) {}
}
