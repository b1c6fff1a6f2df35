package io.hickorydrift.core.config;

import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.core.message.TeamSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assembles a snapshot from its parts, which may arrive in any order. Parts of a snapshot older
 * than the newest one received are dropped.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SnapshotReader {
  private final Map<Long, ConfigSnapshot> parts = new HashMap<>();
  private long entry;

  /** Returns the number of the last entry that the snapshot covers. */
  public long entry() {
    return entry;
  }

  /** Adds a part; returns all teams once every part has arrived, else null. */
  public SortedMap<String, Team> add(ConfigSnapshot part) {
    if (part.entry() < entry) {
      return null;
    }
    if (part.entry() > entry) {
      parts.clear();
      entry = part.entry();
    }
    parts.put(part.part(), part);
    return parts.size() < part.parts() ? null : assemble();
  }

  private SortedMap<String, Team> assemble() {
    SortedMap<String, SortedMap<String, Map<String, String>>> sections = new TreeMap<>();
    Map<String, Long> revisions = new HashMap<>();
    for (ConfigSnapshot part : parts.values()) {
      for (TeamSnapshot team : part.teams()) {
        revisions.put(team.team(), team.revision());
        SortedMap<String, Map<String, String>> teamSections =
            sections.computeIfAbsent(team.team(), name -> new TreeMap<>());
        for (SectionChange section : team.sections()) {
          teamSections.put(section.section(), section.values());
        }
      }
    }
    SortedMap<String, Team> teams = new TreeMap<>();
    sections.forEach((name, values) -> teams.put(name, new Team(revisions.get(name), values)));
    return teams;
  }
}
