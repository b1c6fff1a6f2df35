package io.hickorydrift.core.declaration;

import java.util.HashSet;
import java.util.Set;

/**
 * Groups with urgent work: those that a route of the highest priority leads to. Operators declare
 * that priority for operations whose latency objective a few round trips within a region consume.
 *
 * <p>Thread safety: stateless.
 */
public final class UrgentGroups {
  private static final int URGENT_PRIORITY = 0;

  private UrgentGroups() {}

  /** Returns the names of the groups in {@code declaration} that have urgent work. */
  public static Set<String> of(Declaration declaration) {
    Set<String> groups = new HashSet<>();
    for (Route route : declaration.routes().values()) {
      if (route.priority() == URGENT_PRIORITY) {
        groups.add(route.group());
      }
    }
    return groups;
  }
}
