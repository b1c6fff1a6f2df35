package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.placement.Regions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which replicas are asked whether they have received a commit. Load pattern: short urgent
 * writes, whose latency is mostly round trips; a replica in another region would add tens of
 * milliseconds to each of them.
 *
 * <p>Thread safety: immutable.
 */
public final class ReplicaOrder {
  private final String ownDomain;
  private final Regions regions;

  /** Creates the order for an instance in the failure domain {@code ownDomain}. */
  public ReplicaOrder(String ownDomain, Regions regions) {
    this.ownDomain = ownDomain;
    this.regions = regions;
  }

  /** Returns {@code replicas}, the nearest first; those that are equally near keep their order. */
  public List<TargetState> nearestFirst(List<TargetState> replicas) {
    List<TargetState> ordered = new ArrayList<>(replicas);
    ordered.sort(Comparator.comparingInt(this::distance));
    return ordered;
  }

  /** Returns whether {@code replica} is in another region than this instance. */
  public boolean isInOtherRegion(TargetState replica) {
    String domain = replica.entry().failureDomain();
    return !regions.regionOf(domain).equals(regions.regionOf(ownDomain));
  }

  private int distance(TargetState replica) {
    if (replica.entry().failureDomain().equals(ownDomain)) {
      return 0;
    }
    return isInOtherRegion(replica) ? 2 : 1;
  }
}
