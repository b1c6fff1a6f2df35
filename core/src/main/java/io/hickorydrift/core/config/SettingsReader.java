package io.hickorydrift.core.config;

import io.hickorydrift.core.config.Settings.Access;
import io.hickorydrift.core.config.Settings.Group;
import io.hickorydrift.core.config.Settings.KeyGrant;
import io.hickorydrift.core.config.Settings.Organisation;
import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.config.Settings.Target;
import io.hickorydrift.core.limit.RateLimit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Turns the sections of all teams into typed settings and tells what is wrong with them. What is
 * wrong is left out of the result, so that one team's mistake never takes another team's settings
 * out of force.
 *
 * <p>Thread safety: confined to one thread; one use each.
 */
public final class SettingsReader {
  /** Team whose subtree holds groups, targets, slots and the other teams' credentials. */
  public static final String FLEET_TEAM = "fleet";

  private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final long MAX_RATE = 10_000_000;
  private static final long MAX_AGE_MS = 86_400_000;
  private static final long MAX_DEADLINE_MS = 60_000;
  private static final long DEFAULT_DEADLINE_MS = 2_000;
  private static final long MAX_CONNECTIONS = 10_000;
  private static final long MAX_HOMES = 64;
  private static final long DEFAULT_HOMES = 1;
  private static final long MAX_SLOTS = 10_000;

  private final List<SettingsProblem> problems = new ArrayList<>();
  private final SortedMap<String, Organisation> organisations = new TreeMap<>();
  private final Map<String, KeyGrant> keys = new HashMap<>();
  private final SortedMap<String, Group> groups = new TreeMap<>();
  private final SortedMap<String, Route> routes = new TreeMap<>();
  private final SortedMap<String, Integer> slots = new TreeMap<>();
  private final Map<String, String> credentials = new HashMap<>();
  private final Map<String, String> targetGroups = new HashMap<>();

  /** Reads all teams' settings as of configuration entry {@code entry}. */
  public Settings read(long entry, SortedMap<String, Team> teams) {
    eachSection(teams, "slots", this::readSlots);
    eachSection(teams, "team", this::readTeam);
    eachSection(teams, "group", this::readGroup);
    eachSection(teams, "target", this::readTarget);
    readTeams(teams);
    return settings(entry);
  }

  /**
   * Reads the settings anew after only {@code changed} teams changed. Gives the same as {@link
   * #read}, but costs as much as those teams' sections and a copy of the tables.
   */
  public Settings update(
      Settings former, long entry, SortedMap<String, Team> teams, Set<String> changed) {
    if (changed.contains(FLEET_TEAM) || !former.complete()) {
      return read(entry, teams);
    }
    SortedMap<String, Team> part = new TreeMap<>(teams);
    part.keySet().retainAll(changed);
    keepOthers(former, changed);
    readTeams(part);
    if (problems.isEmpty()) {
      return settings(entry);
    }
    // Which of two teams keeps a name is decided over all teams at once.
    clear();
    return read(entry, teams);
  }

  private Settings settings(long entry) {
    return new Settings(
        entry, problems.isEmpty(), organisations, keys, groups, routes, slots, credentials);
  }

  private void clear() {
    problems.clear();
    organisations.clear();
    keys.clear();
    groups.clear();
    routes.clear();
    slots.clear();
    credentials.clear();
    targetGroups.clear();
  }

  private void keepOthers(Settings former, Set<String> changed) {
    groups.putAll(former.groups());
    slots.putAll(former.slots());
    credentials.putAll(former.teamCredentials());
    organisations.putAll(former.organisations());
    organisations.values().removeIf(organisation -> changed.contains(organisation.team()));
    routes.putAll(former.routes());
    routes.values().removeIf(route -> changed.contains(route.team()));
    keys.putAll(former.keys());
    keys.values().removeIf(grant -> !organisations.containsKey(grant.organisation()));
  }

  private void readTeams(SortedMap<String, Team> teams) {
    eachSection(teams, "organisation", this::readOrganisation);
    eachSection(teams, "key", this::readKey);
    eachSection(teams, "route", this::readRoute);
  }

  /** Returns what was found wrong. */
  public List<SettingsProblem> problems() {
    return List.copyOf(problems);
  }

  /** Reports sections of kinds that do not exist. */
  public void checkKinds(String team, SortedMap<String, Map<String, String>> sections) {
    List<String> kinds =
        List.of("slots", "team", "group", "target", "organisation", "key", "route");
    for (String section : sections.keySet()) {
      String[] words = section.split(" ", 2);
      if (!kinds.contains(words[0]) || words.length < 2 || !NAME.matcher(words[1]).matches()) {
        String expected = "expected a kind of " + kinds + " and a name like " + NAME.pattern();
        problems.add(new SettingsProblem(team, section, null, expected));
      }
    }
  }

  private interface SectionKind {
    void read(String team, String name, SectionReader in);
  }

  private void eachSection(SortedMap<String, Team> teams, String kind, SectionKind reader) {
    teams.forEach(
        (teamName, team) ->
            team.sections()
                .forEach(
                    (section, values) -> {
                      if (section.startsWith(kind + " ")) {
                        SectionReader in = new SectionReader(teamName, section, values, problems);
                        reader.read(teamName, section.substring(kind.length() + 1), in);
                        in.reportUnknownKeys();
                      }
                    }));
  }

  private boolean fleetOnly(String team, SectionReader in) {
    if (!team.equals(FLEET_TEAM)) {
      in.problem(null, "only team " + FLEET_TEAM + " may declare this");
      return false;
    }
    return true;
  }

  private void readSlots(String team, String name, SectionReader in) {
    int count = (int) in.integer("count", 1, MAX_SLOTS, null);
    if (fleetOnly(team, in)) {
      slots.put(name, count);
    }
  }

  private void readTeam(String team, String name, SectionReader in) {
    String digest = digest(in, "credential");
    if (fleetOnly(team, in)) {
      credentials.put(name, digest);
    }
  }

  private void readGroup(String team, String name, SectionReader in) {
    int homesPerDomain = (int) in.integer("homes_per_domain", 1, MAX_HOMES, DEFAULT_HOMES);
    if (fleetOnly(team, in)) {
      groups.put(name, new Group(name, homesPerDomain, new ArrayList<>()));
    }
  }

  private void readTarget(String team, String name, SectionReader in) {
    String groupName = in.requireText("group");
    String address = in.requireText("address");
    String failureDomain = in.requireText("failure_domain");
    int connections = (int) in.integer("connections", 1, MAX_CONNECTIONS, null);
    if (!address.matches("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}")) {
      in.problem("address", "expected an IP number and a port");
      return;
    }
    Group group = groups.get(groupName);
    if (group == null) {
      in.problem("group", "no such group");
    } else if (fleetOnly(team, in) && targetGroups.putIfAbsent(name, groupName) == null) {
      group.targets().add(new Target(name, address, failureDomain, connections));
    }
  }

  private void readOrganisation(String team, String name, SectionReader in) {
    long rate = in.integer("rate_per_s", 1, MAX_RATE, null);
    long burst = in.integer("burst", 1, MAX_RATE, rate);
    Organisation earlier =
        organisations.putIfAbsent(name, new Organisation(name, team, new RateLimit(rate, burst)));
    if (earlier != null) {
      in.problem(null, "team " + earlier.team() + " has this organisation already");
    }
  }

  private void readKey(String team, String name, SectionReader in) {
    String digest = digest(in, "digest");
    Organisation organisation = organisations.get(in.requireText("organisation"));
    if (organisation == null || !organisation.team().equals(team)) {
      in.problem("organisation", "no such organisation in this team's subtree");
    } else if (keys.putIfAbsent(digest, new KeyGrant(name, organisation.name())) != null) {
      in.problem("digest", "another key has this digest");
    }
  }

  private void readRoute(String team, String name, SectionReader in) {
    String group = in.requireText("group");
    Access access = in.enumConstant("access", Access.class);
    String openAs = in.optionalText("open_as");
    long maxAgeMs = in.integer("max_age_ms", -1, MAX_AGE_MS, -1L);
    long deadlineMs = in.integer("deadline_ms", 1, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    Organisation organisation = openAs == null ? null : organisations.get(openAs);
    if (!groups.containsKey(group)) {
      in.problem("group", "no such group");
    } else if (openAs != null && (organisation == null || !organisation.team().equals(team))) {
      in.problem("open_as", "no such organisation in this team's subtree");
    } else if (routes.containsKey(name)) {
      in.problem(null, "team " + routes.get(name).team() + " has this route already");
    } else {
      routes.put(name, new Route(name, team, group, access, openAs, maxAgeMs, deadlineMs));
    }
  }

  private static String digest(SectionReader in, String key) {
    String digest = in.requireText(key);
    if (!DIGEST.matcher(digest).matches()) {
      in.problem(key, "expected sha256: and 64 hexadecimal digits");
    }
    return digest;
  }
}
