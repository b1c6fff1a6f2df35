package io.hickorydrift.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which instances hold a group's target connections. While each instance can have a few connections
 * to each target of its own, every instance serves what it takes. Beyond that, a group has one home
 * that all others forward to, so that connections, queue and rates are seen in one place; the next
 * in rank stands in while the home cannot be reached.
 *
 * <p>Invariant: a function of the members and the declaration, so that instances which know the
 * same agree. Thread safety: immutable.
 */
public final class HomePlan {
  /** An instance and how much it can carry. */
  public record Member(String id, double weight) {}

  /** Instances that may serve a group in turn. */
  public static final int RANKED_INSTANCES = 3;

  // A statement and an open transaction beside it.
  private static final double MIN_CONNECTIONS_EACH = 2;
  // The rest is left for whoever comes back while a target still holds dead connections.
  private static final double USED_PART = 0.75;
  private static final double STANDBY_PART = 0.1;

  private final List<Member> members;
  private final int fleetSize;
  private final Map<String, List<String>> ranks = new HashMap<>();

  /** A plan for {@code members}, of which those with weight 0 are taken only if all have none. */
  public HomePlan(List<Member> members) {
    List<Member> able = members.stream().filter(member -> member.weight() > 0).toList();
    this.members = able.isEmpty() ? List.copyOf(members) : able;
    fleetSize = Math.max(1, members.size());
  }

  /** Returns whether every instance uses connections of its own. */
  public boolean isDirect(int maxConnections) {
    return maxConnections * USED_PART / fleetSize >= MIN_CONNECTIONS_EACH;
  }

  /** Returns the instances that serve {@code group}, the home first. */
  public List<String> rankedInstances(String group) {
    return ranks.computeIfAbsent(group, this::rank);
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
    double weight = member.weight() > 0 ? member.weight() : 1;
    return -weight / Math.log(Rendezvous.unitHash(group, member.id()));
  }

  /**
   * Returns how many connections to each target {@code id} may hold.
   *
   * @param serving whether it serves the group now
   */
  public int maxConnectionsPerTarget(String group, int maxConnections, String id, boolean serving) {
    if (isDirect(maxConnections)) {
      return Math.max(1, (int) (maxConnections * USED_PART / fleetSize));
    }
    boolean large = serving || rankedInstances(group).get(0).equals(id);
    return Math.max(1, (int) (maxConnections * (large ? USED_PART : STANDBY_PART)));
  }

  /**
   * Returns how many connections to each target {@code id} may hold just after its start, while
   * targets may still count those of its life before. Load pattern: all instances lose power at
   * once, and whoever comes back finds targets full of dead connections.
   */
  public int maxConnectionsAtStart(String group, int maxConnections, String id) {
    if (isDirect(maxConnections)) {
      return Math.max(1, (int) (maxConnections * (1 - USED_PART) / fleetSize));
    }
    boolean home = rankedInstances(group).get(0).equals(id);
    int dead = (int) (maxConnections * USED_PART);
    dead += (RANKED_INSTANCES - 1) * Math.max(1, (int) (maxConnections * STANDBY_PART));
    int left = maxConnections - dead - (RANKED_INSTANCES - 1);
    return home ? Math.max(1, left) : 1;
  }
}
