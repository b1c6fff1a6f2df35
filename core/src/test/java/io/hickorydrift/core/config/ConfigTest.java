package io.hickorydrift.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SectionChange;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the log applies entries in order and never reverts one, and that declarations are
 * validated.
 */
class ConfigTest {
  private static List<ConfigEntry> entries(Random random, int count) {
    Map<String, Long> revisions = new TreeMap<>();
    List<ConfigEntry> entries = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      String team = "team" + random.nextInt(3);
      boolean outdated = random.nextInt(4) == 0;
      long base = revisions.getOrDefault(team, 0L) - (outdated ? 1 : 0);
      if (!outdated) {
        revisions.put(team, (long) i);
      }
      boolean removes = random.nextInt(5) == 0;
      String section = "organisation o" + random.nextInt(4);
      Map<String, String> values = removes ? null : Map.of("rate_per_s", "" + i);
      entries.add(
          new ConfigEntry(i, team, base, "c" + i, List.of(new SectionChange(section, values))));
    }
    return entries;
  }

  @Property(tries = 200, seed = "20261204")
  void settingsDoNotDependOnOrderOfArrival(@ForAll long seed) {
    Random random = new Random(seed);
    List<ConfigEntry> entries = entries(random, 40);
    ConfigLog inOrder = new ConfigLog();
    inOrder.apply(entries);

    ConfigLog shuffled = new ConfigLog();
    long applied = 0;
    List<ConfigEntry> arriving = new ArrayList<>(entries);
    while (shuffled.lastApplied() < entries.size()) {
      Collections.shuffle(arriving, random);
      shuffled.apply(arriving.subList(0, random.nextInt(arriving.size() + 1)));
      assertThat(shuffled.lastApplied()).isGreaterThanOrEqualTo(applied);
      applied = shuffled.lastApplied();
    }
    assertThat(shuffled.teams()).isEqualTo(inOrder.teams());
  }

  @Property(tries = 100, seed = "20261204")
  void changeOfOneTeamLeavesOtherTeamsUnchanged(@ForAll long seed) {
    ConfigLog log = new ConfigLog();
    for (ConfigEntry entry : entries(new Random(seed), 30)) {
      SortedMap<String, Team> before = log.teams();
      log.apply(List.of(entry));
      before.forEach(
          (name, team) -> {
            if (!name.equals(entry.team())) {
              assertThat(log.team(name)).isEqualTo(team);
            }
          });
    }
  }

  @Property(tries = 200, seed = "20261204")
  void restoredSnapshotEqualsReplayOfItsEntries(@ForAll long seed) {
    Random random = new Random(seed);
    List<ConfigEntry> entries = entries(random, 40);
    int at = 1 + random.nextInt(40);
    ConfigLog whole = new ConfigLog();
    whole.apply(entries.subList(0, at));
    List<ConfigSnapshot> parts =
        new ArrayList<>(SnapshotWriter.write(at, whole.teams(), 1 + random.nextInt(400)));
    Collections.shuffle(parts, random);
    SnapshotReader reader = new SnapshotReader();
    SortedMap<String, Team> teams = null;
    for (ConfigSnapshot part : parts) {
      assertThat(teams).as("complete only with the last part").isNull();
      teams = reader.add(part);
    }
    ConfigLog restored = new ConfigLog();
    assertThat(restored.restore(reader.entry(), teams)).isTrue();
    assertThat(restored.teams()).isEqualTo(whole.teams());
    restored.apply(entries);
    whole.apply(entries);
    assertThat(restored.teams()).isEqualTo(whole.teams());
    assertThat(restored.restore(at, teams)).as("older snapshot is not restored").isFalse();
  }

  @Property(tries = 200, seed = "20261204")
  void updateEqualsFullRead(@ForAll long seed) {
    Random random = new Random(seed);
    SortedMap<String, Team> teams = new TreeMap<>();
    Settings updated = new SettingsReader().read(0, teams);
    for (int entry = 1; entry <= 30; entry++) {
      String name = random.nextInt(8) == 0 ? "fleet" : "team" + random.nextInt(3);
      teams.put(name, new Team(entry, sections(random, name)));
      updated = new SettingsReader().update(updated, entry, teams, Set.of(name));
      assertThat(updated).isEqualTo(new SettingsReader().read(entry, teams));
    }
  }

  /** Returns mostly valid sections; teams sometimes declare the same names. */
  private static SortedMap<String, Map<String, String>> sections(Random random, String team) {
    SortedMap<String, Map<String, String>> sections = new TreeMap<>();
    for (int i = 0; i < 4; i++) {
      String own = random.nextInt(10) == 0 ? "shared" : team + "-" + i;
      if (team.equals("fleet")) {
        sections.put("group g" + i, Map.of("homes_per_domain", "1"));
      } else if (random.nextBoolean()) {
        sections.put("organisation " + own, Map.of("rate_per_s", "" + (1 + random.nextInt(9))));
        String digest = "sha256:" + ("" + random.nextInt(10)).repeat(64);
        sections.put("key " + own, Map.of("organisation", own, "digest", digest));
        sections.put("route " + own, Map.of("group", "g" + i, "access", "read"));
      }
    }
    return sections;
  }

  @Test
  void onlyLatestEntriesAreRetained() {
    ConfigLog log = new ConfigLog();
    int count = 3 * ConfigLog.MAX_RETAINED_ENTRIES;
    for (int i = 1; i <= count; i++) {
      log.apply(List.of(new ConfigEntry(i, "t", i - 1, "c" + i, List.of())));
    }
    assertThat(log.retainedEntries(1, Integer.MAX_VALUE)).hasSize(ConfigLog.MAX_RETAINED_ENTRIES);
    assertThat(log.retainsFrom(count - ConfigLog.MAX_RETAINED_ENTRIES + 1)).isTrue();
    assertThat(log.retainsFrom(count - ConfigLog.MAX_RETAINED_ENTRIES)).isFalse();
    assertThat(log.findByChangeId("c" + count).number()).isEqualTo(count);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "portal | organisation o | rate_per_s=0          | rate_per_s",
        "portal | organisation o | rate_per_s=ten        | rate_per_s",
        "portal | organisation o | rate_per_s=5,x=1      | x",
        "portal | group g        | homes_per_domain=1    | only team fleet",
        "portal | slots d        | count=1               | only team fleet",
        "portal | team other     | credential=sha256:1   | credential",
        "portal | key k          | organisation=other,digest=sha256:1 | organisation",
        "portal | route r        | group=none,access=read | group",
        "portal | route r        | group=none,access=fly  | access",
        "portal | rout r         | a=b                   | expected a kind",
        "fleet  | target t       | group=none,address=h:1,failure_domain=d,connections=1 | address",
        "fleet | target t | group=n,address=1.2.3.4:1,failure_domain=d,connections=0 | connections"
      })
  void problemNamesItsSectionAndKey(String team, String section, String values, String place) {
    Map<String, String> parsed = new TreeMap<>();
    for (String value : values.split(",")) {
      parsed.put(value.split("=")[0], value.split("=")[1]);
    }
    SortedMap<String, Map<String, String>> sections = new TreeMap<>(Map.of(section, parsed));
    SettingsReader reader = new SettingsReader();
    reader.checkKinds(team, sections);
    reader.read(1, new TreeMap<>(Map.of(team, new Team(1, sections))));
    assertThat(reader.problems().toString()).contains(place).contains("[" + section + "]");
  }
}
