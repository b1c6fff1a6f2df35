package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.placement.HomeAssignment;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.placement.ServingRegion;
import io.hickorydrift.core.warmup.ColdTargets;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the instance that runs each group's statements, by the {@link HomeAssignment} of the live
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
  private final HomePlans plans;
  private final long startNanos;
  private final Map<String, Long> lastServedNanos = new HashMap<>();
  private Peers peers;

  HomeRouter(
      EventLoop loop,
      Declarations declarations,
      FleetMembership fleet,
      Directory directory,
      String self,
      Regions regions) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.self = self;
    this.regions = regions;
    plans = new HomePlans(declarations, fleet, directory, self, regions);
    startNanos = loop.nowNanos();
  }

  void start(Peers links) {
    peers = links;
  }

  private int maxConnections(String group) {
    DeclaredGroup declared = declarations.current().groups().get(group);
    return declared == null ? 1 : declared.maxConnections();
  }

  /** Returns whether every instance runs the statements of {@code group} itself. */
  boolean isDirect(String group) {
    return plans.fleetWide().isDirect(maxConnections(group));
  }

  /**
   * Returns whether distance matters to the statements of {@code group}: they may cross regions, or
   * some of them are urgent.
   */
  boolean usesLocality(String group) {
    return regions.isMultiRegion() || declarations.isUrgent(group);
  }

  /** Returns whether the homes of {@code group} are placed by locality. */
  boolean isByLocality(String group) {
    return plans.isByLocality(group) && !isDirect(group);
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
    HomeAssignment homes = plans.of(group);
    for (String region : servingRegions(group, needsPrimary, allowed)) {
      for (String id : homes.rankedInstances(group, region)) {
        if (id.equals(self)) {
          return null;
        }
        if (peers.isUp(id) && maySeeText(id, allowed)) {
          return peers.link(id);
        }
      }
    }
    return null;
  }

  /** Returns whether the text of a statement that {@code allowed} restricts may go to the peer. */
  boolean maySeeText(String peer, AllowedRegions allowed) {
    return !allowed.restricted()
        || allowed.allowsText(regions.regionOf(fleet.failureDomainOf(peer)), ownRegion());
  }

  /** Returns the regions whose homes may run a statement of {@code group}, in order. */
  private Collection<String> servingRegions(
      String group, boolean needsPrimary, AllowedRegions allowed) {
    Collection<String> homeRegions = plans.of(group).regions();
    if (homeRegions.size() <= 1) {
      return homeRegions;
    }
    ServingRegion.Work work =
        new ServingRegion.Work(
            needsPrimary,
            plans.primaryRegion(group),
            plans.targetRegions(group),
            allowed::allowsTarget);
    return new ServingRegion(ownRegion()).inOrder(work, homeRegions);
  }

  private String ownRegion() {
    return regionOf(self);
  }

  private String regionOf(String instance) {
    return regions.regionOf(fleet.failureDomainOf(instance));
  }

  /** Returns whether {@code peer} is in another region than this instance. */
  boolean isInOtherRegion(String peer) {
    return !regionOf(peer).equals(ownRegion());
  }

  /**
   * Returns whether a statement of {@code group} that can be lost without harm is sent to {@code
   * peer} before a ping has shown that the link works. The ping takes a round trip, and two
   * instances with little processor time have to handle it.
   */
  boolean sendsAtOnce(String group, String peer) {
    return isByLocality(group) || isInOtherRegion(peer);
  }

  /**
   * Checks the link to the home of {@code group} if it has been idle, so that the caller's first
   * statement does not have to wait for that. Has no effect unless the homes are by locality.
   */
  void checkLink(String group, boolean needsPrimary) {
    OutboundPeerLink link =
        isByLocality(group) ? remoteLink(group, needsPrimary, AllowedRegions.ALL) : null;
    if (link != null) {
      link.checkIfIdle();
    }
  }

  /** Returns whether this instance is the home of {@code group} in a region. */
  boolean isHome(String group) {
    return !isDirect(group) && ownRankedInstances(group).indexOf(self) == 0;
  }

  /**
   * Returns this instance's part of {@code perSecond}, a bound on the requests of all instances to
   * {@code target}: the home of the target's region has all of it, instances with own connections
   * share it.
   */
  double shareOfTarget(TargetEntry target, double perSecond) {
    if (!isDirect(target.group())) {
      return isHomeOf(target) ? perSecond : 0;
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

  private boolean isHomeOf(TargetEntry target) {
    String region = regions.regionOf(target.failureDomain());
    List<String> ranked = plans.of(target.group()).rankedInstances(target.group(), region);
    return !ranked.isEmpty() && ranked.get(0).equals(self);
  }

  /**
   * Returns the instances that may serve {@code group} in the region in which this instance is one
   * of them, or an empty list.
   */
  private List<String> ownRankedInstances(String group) {
    HomeAssignment homes = plans.of(group);
    for (String region : homes.regions()) {
      List<String> ranked = homes.rankedInstances(group, region);
      if (ranked.contains(self)) {
        return ranked;
      }
    }
    return List.of();
  }

  /**
   * Returns whether this instance counts an operation on {@code group} that it receives against the
   * rate limits.
   *
   * @param needsPrimary whether only the primary can run the operation
   * @param allowed regions that may run the operation
   */
  boolean countsOperations(String group, boolean needsPrimary, AllowedRegions allowed) {
    return isDirect(group) || remoteLink(group, needsPrimary, allowed) == null;
  }

  /** Returns whether {@code id} observes the primary of {@code group}. */
  private boolean isObserver(String group, String id) {
    return isDirect(group) || plans.fleetWide().rankedInstances(group).contains(id);
  }

  /** Returns whether this instance observes the primary of {@code group}. */
  boolean isObserver(String group) {
    return isObserver(group, self);
  }

  /**
   * Returns whether this instance keeps idle connections to the targets of {@code group}: by
   * locality, only those that may serve the group or observe its primary do.
   */
  boolean keepsConnections(String group) {
    return isDirect(group) || !plans.isByLocality(group) || needsStatus(group, self);
  }

  /**
   * Returns whether {@code id} may serve {@code group} in some region or observes its primary, and
   * so needs what its peers know of the primary.
   */
  boolean needsStatus(String group, String id) {
    if (isObserver(group, id)) {
      return true;
    }
    HomeAssignment homes = plans.of(group);
    for (String region : homes.regions()) {
      if (homes.rankedInstances(group, region).contains(id)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether this instance keeps its observations of the primary of {@code group} fresh by
   * probes of its own: it is an observer, or the home of the primary's region.
   */
  boolean probesPrimary(String group) {
    if (isObserver(group)) {
      return true;
    }
    List<String> ranked = plans.of(group).rankedInstances(group, plans.primaryRegion(group));
    return !ranked.isEmpty() && ranked.get(0).equals(self);
  }

  /** Returns whether this instance is a home of {@code group} by locality, or replaces one. */
  boolean servesByLocality(String group) {
    return plans.isByLocality(group) && (isHome(group) || isServingRecently(group));
  }

  private boolean isServingRecently(String group) {
    Long servedNanos = lastServedNanos.get(group);
    return servedNanos != null && loop.nowNanos() - servedNanos < RECENTLY_SERVED_NANOS;
  }

  /** Records that a statement of {@code group} runs here. */
  void recordServed(String group) {
    lastServedNanos.put(group, loop.nowNanos());
  }

  /**
   * Returns the maximum number of connections of this instance to a target of {@code group} in the
   * failure domain {@code targetDomain}.
   */
  int connectionBudget(String group, String targetDomain) {
    HomeAssignment homes = plans.of(group);
    int maxConnections = maxConnections(group);
    if (loop.nowNanos() - startNanos < START_PHASE_NANOS) {
      return homes.maxConnectionsAtStart(group, maxConnections, targetDomain, self);
    }
    boolean replacesHome = isServingRecently(group) && !higherRankedIsUp(group);
    return homes.maxConnectionsPerTarget(group, maxConnections, targetDomain, self, replacesHome);
  }

  /**
   * Returns whether an instance that serves {@code group} rather than this one is reachable. An
   * instance that was the home leaves its connections to it, since a target's limit does not hold
   * those of both.
   */
  private boolean higherRankedIsUp(String group) {
    List<String> ownRanked = ownRankedInstances(group);
    if (!ownRanked.isEmpty()) {
      return ownRanked.subList(0, ownRanked.indexOf(self)).stream().anyMatch(peers::isUp);
    }
    HomeAssignment homes = plans.of(group);
    for (String region : homes.regions()) {
      if (homes.rankedInstances(group, region).stream().anyMatch(peers::isUp)) {
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
    return plans.fleetWide().rankedInstances(group);
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
      HomeAssignment homes = plans.of(group);
      for (String region : homes.regions()) {
        List<String> ranked = homes.rankedInstances(group, region);
        ids.addAll(ranked.subList(0, Math.min(RATE_HOLDER_RANKS, ranked.size())));
      }
    }
    return ids;
  }

  /** Returns a number that changes whenever a home may have moved. */
  long changeCount() {
    return plans.changeCount();
  }

  /** Returns the number of pairs of a group and a region that this instance is the home of. */
  int homeCount() {
    return plans.ownHomes().size();
  }

  /**
   * Returns the peers to which this instance keeps links: of each group the home and the first
   * instance that would replace it, and the next in rank while one of these is down; all of them if
   * this instance may serve the group itself. With homes in several regions, these are the homes of
   * the own region and of the primary's; those of others only while none of the preferred region is
   * reachable.
   */
  Set<String> linkedPeers() {
    if (allGroupsDirect()) {
      return fleet.otherAddresses().keySet();
    }
    Set<String> ids = new LinkedHashSet<>();
    for (String group : declarations.current().groups().keySet()) {
      addLinks(group, servingRegions(group, true, AllowedRegions.ALL), ids);
      addLinks(group, servingRegions(group, false, AllowedRegions.ALL), ids);
      if (plans.isByLocality(group) && isObserver(group)) {
        ids.addAll(plans.fleetWide().rankedInstances(group));
      }
      if (plans.isByLocality(group) && isHome(group)) {
        ids.addAll(rateHolderCandidates());
      }
    }
    ids.remove(self);
    return ids;
  }

  private void addLinks(String group, Collection<String> regionsInOrder, Set<String> ids) {
    for (String region : regionsInOrder) {
      List<String> ranked = plans.of(group).rankedInstances(group, region);
      int wanted = ranked.contains(self) ? ranked.size() : LINKED_RANKS;
      boolean served = false;
      for (int i = 0; i < ranked.size() && wanted > 0; i++) {
        boolean down = peers.isDown(ranked.get(i));
        ids.add(ranked.get(i));
        wanted -= down ? 0 : 1;
        served |= !down;
      }
      if (served) {
        return;
      }
    }
  }

  /** Returns whether this instance needs the status of {@code peer} at each heartbeat. */
  boolean needsStatusOf(String peer) {
    for (String group : declarations.current().groups().keySet()) {
      boolean bothObserve = isObserver(group) && isObserver(group, peer);
      if (bothObserve || ownRankedInstances(group).contains(peer) || isSource(group, peer)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether this instance, as a home in a region other than the primary's, takes observed
   * positions of the primary of {@code group} from {@code peer}, the home in the primary's region.
   * Without them, it could not prove the staleness of its reads; its standbys take them from it.
   */
  private boolean isSource(String group, String peer) {
    if (!servesByLocality(group)) {
      return false;
    }
    HomeAssignment homes = plans.of(group);
    for (String id : homes.rankedInstances(group, plans.primaryRegion(group))) {
      if (id.equals(self) || id.equals(peer)) {
        return id.equals(peer);
      }
      if (!peers.isDown(id)) {
        return false;
      }
    }
    return false;
  }
}
