package io.hickorydrift.core.limit;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.Collection;
import java.util.List;

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
  public static List<String> of(String organisation, RateLimit limit, Collection<String> members) {
    List<String> ranked = Rendezvous.rank(organisation, members);
    int wanted = (int) Math.max(MIN_HOLDERS, limit.burst() / MIN_BURST_PER_HOLDER);
    int holdingWholeTokens = (int) Math.max(1, limit.bucketCapacity());
    return ranked.subList(0, Math.min(Math.min(wanted, holdingWholeTokens), ranked.size()));
  }
}
