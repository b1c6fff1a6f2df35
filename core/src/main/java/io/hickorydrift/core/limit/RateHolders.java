package io.hickorydrift.core.limit;

import io.hickorydrift.core.placement.Rendezvous;
import java.util.Collection;
import java.util.List;

/**
 * Which instances hold an organisation's rate, in equal parts. A small rate in many parts is whole
 * nowhere, so that it has few holders; a large one has many, so that little is lost with one.
 *
 * <p>Thread safety: stateless.
 */
public final class RateHolders {
  // A part of fewer operations than these is often used up by chance.
  private static final double LEAST_PART = 8;
  private static final int FEWEST = 2;

  private RateHolders() {}

  /** Returns the holders among {@code members}, in an order of preference. */
  public static List<String> of(String organisation, RateLimit limit, Collection<String> members) {
    List<String> ranked = Rendezvous.rank(organisation, members);
    int wanted = (int) Math.max(FEWEST, limit.burst() / LEAST_PART);
    return ranked.subList(0, Math.min(wanted, ranked.size()));
  }
}
