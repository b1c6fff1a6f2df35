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
 * Converts the sections of all teams into typed settings and collects validation problems. Invalid
 * sections are left out of the result, so that one team's mistake never disables another team's
 * settings.
 *
 * <p>Thread safety: confined to one thread; each reader is used once.
 */
public final class SettingsReader {
  /** Team whose subtree declares groups, targets, slots and the other teams' credentials. */
  public static final String FLEET_TEAM = "fleet";

  private static final Pattern DIGEST_PATTERN = Pattern.compile("sha256:[0-9a-f]{64}");
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final long MAX_RATE_PER_SECOND = 10_000_000;
  private static final long MAX_STALENESS_MS = 86_400_000;
  private static final long MAX_DEADLINE_MS = 60_000;
  private static final long DEFAULT_DEADLINE_MS = 2_000;
  private static final long MAX_CONNECTIONS_PER_TARGET = 10_000;
  private static final long MAX_HOMES_PER_DOMAIN = 64;
  private static final long DEFAULT_HOMES_PER_DOMAIN = 1;
  private static final long MAX_SLOTS_PER_DOMAIN = 10_000;

  private final List<SettingsProblem> problems = new ArrayList<>();
  private final SortedMap<String, Organisation> organisations = new TreeMap<>();
  private final Map<String, KeyGrant> keys = new HashMap<>();
  private final SortedMap<String, Group> groups = new TreeMap<>();
  private final SortedMap<String, Route> routes = new TreeMap<>();
  private final SortedMap<String, Integer> slots = new TreeMap<>();
  private final Map<String, String> credentials = new HashMap<>();
  private final Map<String, String> groupByTarget = new HashMap<>();

  /** Reads all teams' settings as of configuration entry {@code entry}. */
  public Settings read(long entry, SortedMap<String, Team> teams) {
    readSections(teams, "slots", this::readSlots);
    readSections(teams, "team", this::readTeam);
    readSections(teams, "group", this::readGroup);
    readSections(teams, "target", this::readTarget);
    readTeams(teams);
    return settings(entry);
  }

  /**
   * Updates the settings after a change of only the {@code changed} teams. Returns the same as
   * {@link #read}, at the cost of reading those teams' sections and copying the tables.
   */
  public Settings update(
      Settings previous, long entry, SortedMap<String, Team> teams, Set<String> changed) {
    if (changed.contains(FLEET_TEAM) || !previous.complete()) {
      return read(entry, teams);
    }
    SortedMap<String, Team> changedTeams = new TreeMap<>(teams);
    changedTeams.keySet().retainAll(changed);
    copyUnchangedTeams(previous, changed);
    readTeams(changedTeams);
    if (problems.isEmpty()) {
      return settings(entry);
    }
    // Which of two teams owns a name that both declare can be decided only from all teams'
    // sections.
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
    groupByTarget.clear();
  }

  private void copyUnchangedTeams(Settings previous, Set<String> changed) {
    groups.putAll(previous.groups());
    slots.putAll(previous.slots());
    credentials.putAll(previous.teamCredentials());
    organisations.putAll(previous.organisations());
    organisations.values().removeIf(organisation -> changed.contains(organisation.team()));
    routes.putAll(previous.routes());
    routes.values().removeIf(route -> changed.contains(route.team()));
    keys.putAll(previous.keys());
    keys.values().removeIf(grant -> !organisations.containsKey(grant.organisation()));
  }

  private void readTeams(SortedMap<String, Team> teams) {
    readSections(teams, "organisation", this::readOrganisation);
    readSections(teams, "key", this::readKey);
    readSections(teams, "route", this::readRoute);
  }

  /** Returns the validation problems found so far. */
  public List<SettingsProblem> problems() {
    return List.copyOf(problems);
  }

  /** Reports sections of kinds that do not exist. */
  public void checkKinds(String team, SortedMap<String, Map<String, String>> sections) {
    List<String> kinds =
        List.of("slots", "team", "group", "target", "organisation", "key", "route");
    for (String section : sections.keySet()) {
      String[] kindAndName = section.split(" ", 2);
      if (!kinds.contains(kindAndName[0])
          || kindAndName.length < 2
          || !NAME_PATTERN.matcher(kindAndName[1]).matches()) {
        String message =
            "expected a kind of " + kinds + " and a name like " + NAME_PATTERN.pattern();
        problems.add(new SettingsProblem(team, section, null, message));
      }
    }
  }

  private interface SectionParser {
    void read(String team, String name, SectionReader in);
  }

  private void readSections(SortedMap<String, Team> teams, String kind, SectionParser reader) {
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

  private boolean checkFleetTeam(String team, SectionReader in) {
    if (!team.equals(FLEET_TEAM)) {
      in.addProblem(null, "only team " + FLEET_TEAM + " may declare this");
      return false;
    }
    return true;
  }

  private void readSlots(String team, String name, SectionReader in) {
    int count = (int) in.integer("count", 1, MAX_SLOTS_PER_DOMAIN, null);
    if (checkFleetTeam(team, in)) {
      slots.put(name, count);
    }
  }

  private void readTeam(String team, String name, SectionReader in) {
    String digest = digest(in, "credential");
    if (checkFleetTeam(team, in)) {
      credentials.put(name, digest);
    }
  }

  private void readGroup(String team, String name, SectionReader in) {
    int homesPerDomain =
        (int) in.integer("homes_per_domain", 1, MAX_HOMES_PER_DOMAIN, DEFAULT_HOMES_PER_DOMAIN);
    if (checkFleetTeam(team, in)) {
      groups.put(name, new Group(name, homesPerDomain, new ArrayList<>()));
    }
  }

  private void readTarget(String team, String name, SectionReader in) {
    String groupName = in.requireText("group");
    String address = in.requireText("address");
    String failureDomain = in.requireText("failure_domain");
    int connections = (int) in.integer("connections", 1, MAX_CONNECTIONS_PER_TARGET, null);
    if (!address.matches("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}")) {
      in.addProblem("address", "expected an IP address and a port");
      return;
    }
    Group group = groups.get(groupName);
    if (group == null) {
      in.addProblem("group", "no such group");
    } else if (checkFleetTeam(team, in) && groupByTarget.putIfAbsent(name, groupName) == null) {
      group.targets().add(new Target(name, address, failureDomain, connections));
    }
  }

  private void readOrganisation(String team, String name, SectionReader in) {
    long rate = in.integer("rate_per_s", 1, MAX_RATE_PER_SECOND, null);
    long burst = in.integer("burst", 1, MAX_RATE_PER_SECOND, rate);
    Organisation existing =
        organisations.putIfAbsent(name, new Organisation(name, team, new RateLimit(rate, burst)));
    if (existing != null) {
      in.addProblem(null, "team " + existing.team() + " already declares this organisation");
    }
  }

  private void readKey(String team, String name, SectionReader in) {
    String digest = digest(in, "digest");
    Organisation organisation = organisations.get(in.requireText("organisation"));
    if (organisation == null || !organisation.team().equals(team)) {
      in.addProblem("organisation", "no such organisation in this team's subtree");
    } else if (keys.putIfAbsent(digest, new KeyGrant(name, organisation.name())) != null) {
      in.addProblem("digest", "another key already has this digest");
    }
  }

  private void readRoute(String team, String name, SectionReader in) {
    String group = in.requireText("group");
    Access access = in.enumConstant("access", Access.class);
    String openAs = in.optionalText("open_as");
    long maxAgeMs = in.integer("max_age_ms", -1, MAX_STALENESS_MS, -1L);
    long deadlineMs = in.integer("deadline_ms", 1, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    Organisation organisation = openAs == null ? null : organisations.get(openAs);
    if (!groups.containsKey(group)) {
      in.addProblem("group", "no such group");
    } else if (openAs != null && (organisation == null || !organisation.team().equals(team))) {
      in.addProblem("open_as", "no such organisation in this team's subtree");
    } else if (routes.containsKey(name)) {
      in.addProblem(null, "team " + routes.get(name).team() + " already declares this route");
    } else {
      routes.put(name, new Route(name, team, group, access, openAs, maxAgeMs, deadlineMs));
    }
  }

  private static String digest(SectionReader in, String key) {
    String digest = in.requireText(key);
    if (!DIGEST_PATTERN.matcher(digest).matches()) {
      in.addProblem(key, "expected sha256: followed by 64 hexadecimal digits");
    }
    return digest;
  }
}
