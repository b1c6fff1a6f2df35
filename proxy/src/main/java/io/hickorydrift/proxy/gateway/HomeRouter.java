package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.placement.HomePlan;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where each group's statements run, by the plan for the instances that live now.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class HomeRouter {
  // The home, and who stands in for it until its entry has lapsed.
  private static final int COUNTING_RANKS = 2;
  private static final long SERVING_NANOS = 5_000_000_000L;
  // Targets drop connections of callers that lost power after 3 s; a start takes about one of them.
  private static final long START_NANOS = 2_200_000_000L;

  private final EventLoop loop;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final String self;
  private final long startedNanos;
  private final Map<String, Long> servedNanos = new HashMap<>();
  private Peers peers;
  private HomePlan plan;
  private long planChanges = -1;

  HomeRouter(EventLoop loop, Declarations declarations, FleetMembership fleet, String self) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.self = self;
    startedNanos = loop.nowNanos();
  }

  void start(Peers links) {
    peers = links;
  }

  private HomePlan plan() {
    if (planChanges != fleet.changeCount()) {
      planChanges = fleet.changeCount();
      plan = new HomePlan(fleet.members());
    }
    return plan;
  }

  private int maxConnections(String group) {
    DeclaredGroup declared = declarations.current().groups().get(group);
    return declared == null ? 1 : declared.maxConnections();
  }

  /** Returns whether every instance serves {@code group} itself. */
  boolean isDirect(String group) {
    return plan().isDirect(maxConnections(group));
  }

  /** Returns whether all groups are served by every instance itself. */
  boolean allDirect() {
    for (String group : declarations.current().groups().keySet()) {
      if (!isDirect(group)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the link to the instance that serves {@code group}, or null for this instance.
   *
   * @param needsPrimary whether only the primary can run the statement; if this instance cannot
   *     reach it, a peer that can does
   */
  OutboundPeerLink remoteLink(String group, boolean needsPrimary) {
    if (isDirect(group)) {
      return needsPrimary ? peers.forwardingLink(group) : null;
    }
    for (String id : plan().rankedInstances(group)) {
      if (id.equals(self)) {
        return null;
      }
      OutboundPeerLink link = peers.link(id);
      if (link != null && link.isUp()) {
        return link;
      }
    }
    return null;
  }

  /** Returns whether this instance is the first that serves {@code group}. */
  boolean isHome(String group) {
    return !isDirect(group) && plan().rankedInstances(group).get(0).equals(self);
  }

  /** Returns whether this instance counts the operations of {@code group} that it takes. */
  boolean countsOperations(String group) {
    return isDirect(group) || remoteLink(group, false) == null;
  }

  /** Returns whether {@code peer} may serve {@code group}. */
  boolean mayServe(String group, String peer) {
    return isDirect(group) || plan().rankedInstances(group).contains(peer);
  }

  /** Returns whether this instance may serve {@code group}. */
  boolean mayServe(String group) {
    return mayServe(group, self);
  }

  /** Returns whether this instance may serve any group, or served one lately. */
  boolean servesAnyGroup() {
    for (String group : declarations.current().groups().keySet()) {
      Long last = servedNanos.get(group);
      boolean lately = last != null && loop.nowNanos() - last < SERVING_NANOS;
      if (lately || mayServe(group)) {
        return true;
      }
    }
    return false;
  }

  /** A statement of {@code group} runs here. */
  void recordServed(String group) {
    servedNanos.put(group, loop.nowNanos());
  }

  /** Returns how many connections to each target of {@code group} this instance may hold. */
  int connections(String group) {
    if (loop.nowNanos() - startedNanos < START_NANOS) {
      return plan().maxConnectionsAtStart(group, maxConnections(group), self);
    }
    Long last = servedNanos.get(group);
    boolean serving = last != null && loop.nowNanos() - last < SERVING_NANOS;
    return plan().maxConnectionsPerTarget(group, maxConnections(group), self, serving);
  }

  /** Returns the instances that watch the primary of {@code group}; all where it is direct. */
  List<String> observers(String group) {
    if (isDirect(group)) {
      List<String> all = new ArrayList<>(fleet.otherAddresses().keySet());
      all.add(self);
      return all;
    }
    return plan().rankedInstances(group);
  }

  /** Returns the instances among which holders of rates are chosen: those that count operations. */
  Set<String> rateHolderCandidates() {
    if (allDirect()) {
      return fleet.instanceIds();
    }
    Set<String> ids = new LinkedHashSet<>();
    for (String group : declarations.current().groups().keySet()) {
      List<String> ranked = plan().rankedInstances(group);
      ids.addAll(ranked.subList(0, Math.min(COUNTING_RANKS, ranked.size())));
    }
    return ids;
  }

  /** Returns the instances that this one keeps links to. */
  Set<String> linkedPeers() {
    if (allDirect()) {
      return fleet.otherAddresses().keySet();
    }
    Set<String> ids = new LinkedHashSet<>();
    for (String group : declarations.current().groups().keySet()) {
      ids.addAll(plan().rankedInstances(group));
    }
    ids.remove(self);
    return ids;
  }
}
