package io.hickorydrift.proxy.control;

import io.hickorydrift.proxy.home.GroupStatus;
import java.util.List;
import java.util.Map;

/**
 * What an instance tells operators of itself and its peers.
 *
 * @param instance its id
 * @param failureDomain its failure domain
 * @param ready whether it takes callers' requests
 * @param configEntry last configuration entry in force here
 * @param slot fleet-wide number of its slot, -1 for none
 * @param usableShare fraction of each limit usable here
 * @param storeSilentMs how long the store has not answered, in milliseconds
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
   * What an instance knows of a peer.
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
