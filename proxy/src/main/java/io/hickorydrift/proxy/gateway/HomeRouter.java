package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.placement.HomePlan;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.warmup.ColdTargets;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the instance that runs each group's statements, by the {@link HomePlan} of the live
 * instances.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class HomeRouter {
  // The home, and the standby that replaces a failed home until the home's fleet entry has expired.
  private static final int RATE_HOLDER_RANKS = 2;
  private static final int LINKED_RANKS = 2;
  private static final long RECENTLY_SERVED_NANOS = 5_000_000_000L;
  // A target closes the connections of a client that lost power 3 s after the loss. Until the
  // restarted process begins to serve, about two of these seconds are over; a target that still
  // counts dead connections after that refuses new ones, and the pool then waits.
  private static final long START_PHASE_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final String self;
  private final Regions regions;
  private final long startNanos;
  private final Map<String, Long> lastServedNanos = new HashMap<>();
  private Peers peers;
  private HomePlan plan;
  private long planChangeCount = -1;

  HomeRouter(
      EventLoop loop,
      Declarations declarations,
      FleetMembership fleet,
      String self,
      Regions regions) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.self = self;
    this.regions = regions;
    startNanos = loop.nowNanos();
  }

  void start(Peers links) {
    peers = links;
  }

  private HomePlan plan() {
    if (planChangeCount != fleet.changeCount()) {
      planChangeCount = fleet.changeCount();
      plan = new HomePlan(fleet.members());
    }
    return plan;
  }

  private int maxConnections(String group) {
    DeclaredGroup declared = declarations.current().groups().get(group);
    return declared == null ? 1 : declared.maxConnections();
  }

  /** Returns whether every instance runs the statements of {@code group} itself. */
  boolean isDirect(String group) {
    return plan().isDirect(maxConnections(group));
  }

  /**
   * Returns whether distance matters to the statements of {@code group}: they may cross regions, or
   * some of them are urgent.
   */
  boolean usesLocality(String group) {
    return regions.isMultiRegion() || declarations.isUrgent(group);
  }

  /** Returns whether every instance runs the statements of all groups itself. */
  boolean allGroupsDirect() {
    for (String group : declarations.current().groups().keySet()) {
      if (!isDirect(group)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the link to the instance that runs the statements of {@code group}, or null if this
   * instance does.
   *
   * @param needsPrimary whether only the primary can run the statement; if this instance cannot
   *     reach the primary, the statement goes to a peer that can
   * @param allowed regions that may run the statement; instances that may not see its text are
   *     passed over
   */
  OutboundPeerLink remoteLink(String group, boolean needsPrimary, AllowedRegions allowed) {
    if (isDirect(group)) {
      OutboundPeerLink link = needsPrimary ? peers.forwardingLink(group) : null;
      return link != null && maySeeText(link.peer(), allowed) ? link : null;
    }
    for (String id : plan().rankedInstances(group)) {
      if (id.equals(self)) {
        return null;
      }
      OutboundPeerLink link = peers.link(id);
      if (link != null && link.isUp() && maySeeText(id, allowed)) {
        return link;
      }
    }
    return null;
  }

  /** Returns whether the text of a statement that {@code allowed} restricts may go to the peer. */
  boolean maySeeText(String peer, AllowedRegions allowed) {
    if (!allowed.restricted()) {
      return true;
    }
    String entryRegion = regions.regionOf(fleet.failureDomainOf(self));
    return allowed.allowsText(regions.regionOf(fleet.failureDomainOf(peer)), entryRegion);
  }

  /** Returns whether this instance is the home of {@code group}. */
  boolean isHome(String group) {
    return !isDirect(group) && plan().rankedInstances(group).get(0).equals(self);
  }

  /**
   * Returns this instance's part of {@code perSecond}, a bound on the requests of all instances to
   * {@code target}: the home has all of it, instances with own connections share it.
   */
  double shareOfTarget(TargetEntry target, double perSecond) {
    if (!isDirect(target.group())) {
      return isHome(target.group()) ? perSecond : 0;
    }
    Set<String> ids = new HashSet<>(fleet.instanceIds());
    ids.add(self);
    double ownHash = Rendezvous.unitHash(target.id(), self);
    int rank = 0;
    for (String id : ids) {
      rank += Rendezvous.unitHash(target.id(), id) > ownHash ? 1 : 0;
    }
    return ColdTargets.shareOf(perSecond, rank, ids.size());
  }

  /**
   * Returns whether this instance counts the operations on {@code group} that it receives, and that
   * {@code allowed} may run, against the rate limits.
   */
  boolean countsOperations(String group, AllowedRegions allowed) {
    return isDirect(group) || remoteLink(group, false, allowed) == null;
  }

  /** Returns whether {@code peer} may run statements of {@code group}. */
  boolean mayServe(String group, String peer) {
    return isDirect(group) || plan().rankedInstances(group).contains(peer);
  }

  /** Returns whether this instance may run statements of {@code group}. */
  boolean mayServe(String group) {
    return mayServe(group, self);
  }

  /** Records that a statement of {@code group} runs here. */
  void recordServed(String group) {
    lastServedNanos.put(group, loop.nowNanos());
  }

  /** Returns the maximum number of connections of this instance to each target of {@code group}. */
  int connectionBudget(String group) {
    if (loop.nowNanos() - startNanos < START_PHASE_NANOS) {
      return plan().maxConnectionsAtStart(group, maxConnections(group), self);
    }
    Long servedNanos = lastServedNanos.get(group);
    boolean recentlyServed =
        servedNanos != null && loop.nowNanos() - servedNanos < RECENTLY_SERVED_NANOS;
    boolean replacesHome = recentlyServed && !higherRankedIsUp(group);
    return plan().maxConnectionsPerTarget(group, maxConnections(group), self, replacesHome);
  }

  /**
   * Returns whether an instance that serves {@code group} rather than this one is reachable. An
   * instance that was the home leaves its connections to it, since a target's limit does not hold
   * those of both.
   */
  private boolean higherRankedIsUp(String group) {
    for (String id : plan().rankedInstances(group)) {
      if (id.equals(self)) {
        return false;
      }
      OutboundPeerLink link = peers.link(id);
      if (link != null && link.isUp()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the instances that probe the primary of {@code group}: all if {@link #isDirect}. */
  List<String> observers(String group) {
    if (isDirect(group)) {
      Set<String> all = new LinkedHashSet<>(fleet.stayingIds());
      all.add(self);
      return List.copyOf(all);
    }
    return plan().rankedInstances(group);
  }

  /**
   * Returns the candidates for rate holders: the instances that count operations, at a stop too.
   */
  Set<String> rateHolderCandidates() {
    if (allGroupsDirect()) {
      return fleet.instanceIds();
    }
    Set<String> ids = new LinkedHashSet<>();
    for (String group : declarations.current().groups().keySet()) {
      List<String> ranked = plan().rankedInstances(group);
      ids.addAll(ranked.subList(0, Math.min(RATE_HOLDER_RANKS, ranked.size())));
    }
    return ids;
  }

  /**
   * Returns the peers to which this instance keeps links: of each group the home and the first
   * instance that would replace it, and the next in rank while one of these is down; all of them if
   * this instance may serve the group itself.
   */
  Set<String> linkedPeers() {
    if (allGroupsDirect()) {
      return fleet.otherAddresses().keySet();
    }
    Set<String> ids = new LinkedHashSet<>();
    for (String group : declarations.current().groups().keySet()) {
      List<String> ranked = plan().rankedInstances(group);
      int wanted = ranked.contains(self) ? ranked.size() : LINKED_RANKS;
      for (int i = 0; i < ranked.size() && wanted > 0; i++) {
        ids.add(ranked.get(i));
        wanted -= peers.isDown(ranked.get(i)) ? 0 : 1;
      }
    }
    ids.remove(self);
    return ids;
  }

  /** Returns whether this instance and {@code peer} may both serve some group. */
  boolean servesWith(String peer) {
    for (String group : declarations.current().groups().keySet()) {
      if (mayServe(group) && mayServe(group, peer)) {
        return true;
      }
    }
    return false;
  }
}
