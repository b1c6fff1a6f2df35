package io.hickorydrift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the connections to a group's targets to instances. While the connection limit of a target
 * gives every instance a few connections of its own, each instance runs the statements that it
 * receives. In larger fleets, each group has one home that all other instances forward to, so that
 * its connections, queue and rates are managed in one place; the next instance in rank replaces the
 * home while that is unreachable.
 *
 * <p>Invariant: a function of the members and the declaration, so that instances with the same view
 * of both agree. Thread safety: immutable.
 */
public final class HomePlan implements HomeAssignment {
  /** An instance and its relative capacity. */
  public record Member(String id, double weight) {}

  /** Number of instances that may serve a group: its home and those that replace it, in order. */
  public static final int RANKED_INSTANCES = 3;

  // One for single statements and one for a transaction that is open at the same time.
  private static final double MIN_CONNECTIONS_PER_INSTANCE = 2;
  // Leaves the rest to restarted instances while a target still counts dead connections.
  private static final double USED_FRACTION = 0.75;
  private static final double STANDBY_FRACTION = 0.1;

  private static final String ONLY_REGION = "";

  private final List<Member> members;
  private final int fleetSize;
  private final Map<String, List<String>> rankedByGroup = new HashMap<>();

  /** Creates a plan for {@code members}; those with weight 0 are used only if all have weight 0. */
  public HomePlan(List<Member> members) {
    List<Member> weighted = members.stream().filter(member -> member.weight() > 0).toList();
    this.members = weighted.isEmpty() ? List.copyOf(members) : weighted;
    fleetSize = Math.max(1, members.size());
  }

  /** Returns whether every instance uses its own connections to the targets. */
  public boolean isDirect(int maxConnections) {
    return maxConnections * USED_FRACTION / fleetSize >= MIN_CONNECTIONS_PER_INSTANCE;
  }

  @Override
  public List<String> rankedInstances(String group, String region) {
    return rankedInstances(group);
  }

  /** Returns the instances that may serve {@code group}, the home first. */
  public List<String> rankedInstances(String group) {
    return rankedByGroup.computeIfAbsent(group, this::rank);
  }

  @Override
  public Collection<String> regions() {
    return List.of(ONLY_REGION);
  }

  private List<String> rank(String group) {
    List<Member> ranked = new ArrayList<>(members);
    ranked.sort(
        Comparator.comparingDouble((Member member) -> -score(group, member))
            .thenComparing(Member::id));
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < Math.min(RANKED_INSTANCES, ranked.size()); i++) {
      ids.add(ranked.get(i).id());
    }
    return ids;
  }

  private static double score(String group, Member member) {
    return Rendezvous.weightedScore(group, member.id(), member.weight());
  }

  @Override
  public int maxConnectionsPerTarget(
      String group, int maxConnections, String targetDomain, String id, boolean serving) {
    return maxConnectionsPerTarget(group, maxConnections, id, serving);
  }

  /**
   * Returns the maximum number of connections of the instance {@code id} to each target.
   *
   * @param serving whether the instance serves the group now
   */
  public int maxConnectionsPerTarget(String group, int maxConnections, String id, boolean serving) {
    if (isDirect(maxConnections)) {
      return Math.max(1, (int) (maxConnections * USED_FRACTION / fleetSize));
    }
    boolean servesGroup = serving || rankedInstances(group).get(0).equals(id);
    return Math.max(1, (int) (maxConnections * (servesGroup ? USED_FRACTION : STANDBY_FRACTION)));
  }

  @Override
  public int maxConnectionsAtStart(
      String group, int maxConnections, String targetDomain, String id) {
    return maxConnectionsAtStart(group, maxConnections, id);
  }

  /**
   * Returns the maximum number of connections of the instance {@code id} to each target just after
   * its start, while targets may still count the connections of its previous run. Load pattern: all
   * instances lose power at once, and after the restart dead connections fill the targets.
   */
  public int maxConnectionsAtStart(String group, int maxConnections, String id) {
    if (isDirect(maxConnections)) {
      return Math.max(1, (int) (maxConnections * (1 - USED_FRACTION) / fleetSize));
    }
    boolean home = rankedInstances(group).get(0).equals(id);
    int deadConnections = (int) (maxConnections * USED_FRACTION);
    deadConnections +=
        (RANKED_INSTANCES - 1) * Math.max(1, (int) (maxConnections * STANDBY_FRACTION));
    int available = maxConnections - deadConnections - (RANKED_INSTANCES - 1);
    return home ? Math.max(1, available) : 1;
  }
}
