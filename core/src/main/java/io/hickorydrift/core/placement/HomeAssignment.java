package io.hickorydrift.core.placement;

import java.util.Collection;
import java.util.List;

/**
 * Assigns the homes of groups, and the connections to their targets, to instances. There is one
 * home for each group and region; an implementation without regions has a single one without a
 * name.
 *
 * <p>Invariant: a function of the view that it was created from, so that instances with the same
 * view agree. Thread safety: implementations are confined to one thread.
 */
public interface HomeAssignment {
  /** Returns the regions that have homes, in a fixed order. */
  Collection<String> regions();

  /**
   * Returns the instances that may serve {@code group} in {@code region}, the home first; empty if
   * the region has no instances.
   */
  List<String> rankedInstances(String group, String region);

  /**
   * Returns the maximum number of connections of the instance {@code id} to a target.
   *
   * @param maxConnections number of connections that the target allows the fleet
   * @param targetDomain failure domain of the target
   * @param serving whether the instance serves the group now in place of its region's home
   */
  int maxConnectionsPerTarget(
      String group, int maxConnections, String targetDomain, String id, boolean serving);

  /**
   * Returns the maximum number of connections of the instance {@code id} to a target just after its
   * start, while the target may still count the connections of its previous run.
   */
  int maxConnectionsAtStart(String group, int maxConnections, String targetDomain, String id);
}
