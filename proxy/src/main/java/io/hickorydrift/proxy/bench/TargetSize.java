package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.config.SettingsReader;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.proxy.settings.KeyDigest;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Size of the fleet that the system is designed for, limits on the cost of its control plane, and
 * settings of that size.
 *
 * <p>Thread safety: stateless.
 */
final class TargetSize {
  /** Instances in the fleet. */
  static final int INSTANCES = 2_200;

  /** Database groups. */
  static final int GROUPS = 11_000;

  /** Failure domains. */
  static final int DOMAINS = 28;

  /** Homes of a group; equal to its number of targets. */
  static final int HOMES_PER_GROUP = 3;

  /** Organisations: two for each group, since the users' requirements state no number. */
  static final int ORGANISATIONS = 22_000;

  /** Changes of settings per day. */
  static final double CHANGES_PER_DAY = 34_000;

  /** Maximum processor time of the control plane on an instance, as a fraction of a core. */
  static final double CPU_LIMIT_CORES = 0.029;

  /** Maximum memory of the control plane on an instance, in megabytes. */
  static final double MEMORY_LIMIT_MB = 128;

  /** Maximum rate of bytes that the control plane sends on an instance. */
  static final double BYTES_PER_SECOND_LIMIT = 11_000;

  /** Seconds in a day. */
  static final double SECONDS_PER_DAY = 86_400;

  private static final int TEAMS = 400;

  private TargetSize() {}

  /** Returns the settings of all teams at this size. */
  static SortedMap<String, Team> teams() {
    SortedMap<String, Map<String, String>> fleet = new TreeMap<>();
    for (int d = 0; d < DOMAINS; d++) {
      fleet.put("slots d" + d, Map.of("count", String.valueOf(INSTANCES / DOMAINS)));
    }
    for (int g = 0; g < GROUPS; g++) {
      fleet.put("group g" + g, Map.of("homes_per_domain", "1"));
      for (int t = 0; t < HOMES_PER_GROUP; t++) {
        fleet.put(
            "target t" + g + "-" + t,
            Map.of(
                "group",
                "g" + g,
                "address",
                "10.1.2.3:5432",
                "failure_domain",
                "d" + (g + t) % DOMAINS,
                "connections",
                "30"));
      }
    }
    SortedMap<String, Team> teams = new TreeMap<>();
    teams.put(SettingsReader.FLEET_TEAM, new Team(1, fleet));
    for (int t = 0; t < TEAMS; t++) {
      teams.put("team-" + t, new Team(1, team(t)));
    }
    return teams;
  }

  private static SortedMap<String, Map<String, String>> team(int team) {
    SortedMap<String, Map<String, String>> sections = new TreeMap<>();
    for (int o = team; o < ORGANISATIONS; o += TEAMS) {
      sections.put("organisation o" + o, Map.of("rate_per_s", "500", "burst", "1000"));
      sections.put("key k" + o, Map.of("organisation", "o" + o, "digest", KeyDigest.of("key" + o)));
      sections.put("route r" + o, Map.of("group", "g" + o % GROUPS, "access", "write"));
    }
    return sections;
  }
}
