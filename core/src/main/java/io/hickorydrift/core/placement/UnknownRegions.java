package io.hickorydrift.core.placement;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.declaration.Route;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds declared regions that no failure domain is in. A misspelt region refuses every statement
 * that is restricted to it, which the operator should be told once.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class UnknownRegions {
  private final Set<String> known;
  private final Set<String> reported = new HashSet<>();

  /** Creates an instance that knows the regions of {@code regions}. */
  public UnknownRegions(Regions regions) {
    known = new HashSet<>(regions.regionByDomain().values());
  }

  /** Returns the unknown regions in {@code declaration} that were not returned before, sorted. */
  public Set<String> newIn(Declaration declaration) {
    Set<String> unknown = new TreeSet<>();
    for (Route route : declaration.routes().values()) {
      unknown.addAll(route.allowedRegions());
    }
    for (DeclaredOrganisation organisation : declaration.organisations().values()) {
      unknown.addAll(organisation.allowedRegions());
    }
    unknown.removeAll(known);
    unknown.removeIf(region -> !reported.add(region));
    return unknown;
  }
}
