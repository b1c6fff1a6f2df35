package io.hickorydrift.core.config;

import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.core.message.TeamSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Puts the parts of a snapshot together, whatever their order. Parts of an older snapshot than the
 * newest heard of are dropped.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SnapshotReader {
  private final Map<Long, ConfigSnapshot> parts = new HashMap<>();
  private long entry;

  /** Returns the entry that the whole snapshot stands for. */
  public long entry() {
    return entry;
  }

  /** Takes a part; returns all teams once every part is there, else null. */
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
        SortedMap<String, Map<String, String>> known =
            sections.computeIfAbsent(team.team(), name -> new TreeMap<>());
        for (SectionChange section : team.sections()) {
          known.put(section.section(), section.values());
        }
      }
    }
    SortedMap<String, Team> teams = new TreeMap<>();
    sections.forEach((name, each) -> teams.put(name, new Team(revisions.get(name), each)));
    return teams;
  }
}
