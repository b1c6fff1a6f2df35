package io.hickorydrift.core.relay;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks the instances of a failure domain that may watch the store for it. The largest instances
 * come first, since a relay sends each change to all others of its domain over its own network
 * link.
 *
 * <p>Invariant: a function of the members, so that instances with the same view of the fleet agree
 * without a vote. Thread safety: stateless.
 */
public final class RelayRanking {
  /** Number of instances of a failure domain that may be its relay; the others follow one. */
  public static final int CANDIDATES = 3;

  /**
   * An instance of the failure domain.
   *
   * @param id id of the instance
   * @param weight relative capacity
   */
  public record Member(String id, double weight) {}

  private RelayRanking() {}

  /** Returns the candidates of {@code failureDomain} among its members, in order of preference. */
  public static List<String> of(String failureDomain, Collection<Member> members) {
    List<Member> ranked = new ArrayList<>(members);
    ranked.sort(
        Comparator.comparingDouble((Member member) -> -member.weight())
            .thenComparingDouble(member -> Rendezvous.unitHash(failureDomain, member.id()))
            .thenComparing(Member::id));
    List<String> candidates = new ArrayList<>();
    for (Member member : ranked.subList(0, Math.min(CANDIDATES, ranked.size()))) {
      candidates.add(member.id());
    }
    return candidates;
  }
}
