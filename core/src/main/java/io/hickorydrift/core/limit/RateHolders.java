package io.hickorydrift.core.limit;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Selects the instances that hold an organisation's rate in equal parts. A small rate has few
 * holders, because no bucket would hold a whole token if it were split into many parts; a large
 * rate has many, so that the loss of one holder loses little of it.
 *
 * <p>Thread safety: stateless.
 */
public final class RateHolders {
  // The bucket of a smaller part is often emptied by random variation of the load.
  private static final double MIN_BURST_PER_HOLDER = 8;
  private static final int MIN_HOLDERS = 2;

  private RateHolders() {}

  /** Returns the holders among {@code members}, in order of preference. */
  public static List<String> of(
      String organisation, RateLimit limit, GrantTiming timing, Collection<String> members) {
    List<String> ranked = Rendezvous.rank(organisation, members);
    return ranked.subList(0, Math.min(count(limit, timing), ranked.size()));
  }

  /**
   * Returns the holders among {@code members}, as many in each region, so that operations find
   * tokens in the region that they enter. Without a whole token for each region, returns the same
   * as without regions.
   *
   * @param regionOf returns the region of a member
   */
  public static List<String> inEachRegion(
      String organisation,
      RateLimit limit,
      GrantTiming timing,
      Collection<String> members,
      UnaryOperator<String> regionOf) {
    Map<String, List<String>> rankedByRegion = new TreeMap<>();
    for (String member : Rendezvous.rank(organisation, members)) {
      rankedByRegion
          .computeIfAbsent(regionOf.apply(member), region -> new ArrayList<>())
          .add(member);
    }
    int perRegion = count(limit, timing) / Math.max(1, rankedByRegion.size());
    if (perRegion == 0) {
      return of(organisation, limit, timing, members);
    }
    List<String> holders = new ArrayList<>();
    for (List<String> ranked : rankedByRegion.values()) {
      holders.addAll(ranked.subList(0, Math.min(perRegion, ranked.size())));
    }
    return holders;
  }

  private static int count(RateLimit limit, GrantTiming timing) {
    int wanted = (int) Math.max(MIN_HOLDERS, limit.burst() / MIN_BURST_PER_HOLDER);
    int holdingWholeTokens = (int) Math.max(1, limit.bucketCapacity(timing));
    return Math.min(wanted, holdingWholeTokens);
  }
}
