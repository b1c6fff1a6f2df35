package io.hickorydrift.core.config;

import io.hickorydrift.core.limit.RateLimit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Typed settings of all teams at one configuration entry.
 *
 * <p>Thread safety: immutable.
 *
 * @param entry number of the configuration entry that the settings correspond to
 * @param complete whether every section was valid
 * @param organisations organisations by name
 * @param keys grants by digest of the key
 * @param groups database groups by name
 * @param routes routes by name
 * @param slots number of slots by failure domain
 * @param teamCredentials digests of operators' credentials by team
 */
public record Settings(
    long entry,
    boolean complete,
    SortedMap<String, Organisation> organisations,
    Map<String, KeyGrant> keys,
    SortedMap<String, Group> groups,
    SortedMap<String, Route> routes,
    SortedMap<String, Integer> slots,
    Map<String, String> teamCredentials) {

  /**
   * An organisation.
   *
   * @param name name of the organisation
   * @param team team whose subtree declares it
   * @param limit rate and burst across the fleet
   */
  public record Organisation(String name, String team, RateLimit limit) {}

  /**
   * A granted key.
   *
   * @param name name of the key, safe to log
   * @param organisation organisation of requests that carry the key
   */
  public record KeyGrant(String name, String organisation) {}

  /**
   * A target of a group.
   *
   * @param id id of the target
   * @param address host and port
   * @param failureDomain failure domain of the target
   * @param maxConnections maximum number of connections from the whole fleet
   */
  public record Target(String id, String address, String failureDomain, int maxConnections) {}

  /**
   * A database group.
   *
   * @param name name of the group
   * @param homesPerDomain number of home instances in each failure domain that has a target of the
   *     group
   * @param targets targets of the group
   */
  public record Group(String name, int homesPerDomain, List<Target> targets) {}

  /** Kind of access of a route. */
  public enum Access {
    /** Reads. */
    READ,
    /** Single writes. */
    WRITE,
    /** Transactions of several statements. */
    TRANSACTION
  }

  /**
   * A route, which callers select by its name in the path.
   *
   * @param name name of the route
   * @param team team whose subtree declares it
   * @param group database group that serves it
   * @param access kind of access
   * @param unauthenticatedOrganisation organisation of requests without a key, or null if a key is
   *     required
   * @param maxAgeMs default staleness bound of reads, -1 for none
   * @param deadlineMs default deadline of requests
   */
  public record Route(
      String name,
      String team,
      String group,
      Access access,
      String unauthenticatedOrganisation,
      long maxAgeMs,
      long deadlineMs) {}

  /** Returns the number of slots in all failure domains. */
  public int slotCount() {
    int count = 0;
    for (int slotsInDomain : slots.values()) {
      count += slotsInDomain;
    }
    return count;
  }

  /**
   * Returns the fleet-wide number of the first slot of {@code failureDomain}, -1 if it has none.
   */
  public int firstSlot(String failureDomain) {
    int first = 0;
    for (Map.Entry<String, Integer> domain : slots.entrySet()) {
      if (domain.getKey().equals(failureDomain)) {
        return first;
      }
      first += domain.getValue();
    }
    return -1;
  }

  /** Returns the highest rate of all organisations, at least 1. */
  public double highestRatePerSecond() {
    double highest = 1;
    for (Organisation organisation : organisations.values()) {
      highest = Math.max(highest, organisation.limit().ratePerSecond());
    }
    return highest;
  }

  /** Returns all targets of all groups. */
  public List<Target> targets() {
    List<Target> targets = new ArrayList<>();
    groups.values().forEach(group -> targets.addAll(group.targets()));
    return targets;
  }
}
