package io.hickorydrift.core.config;

import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.core.message.TeamSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Splits all teams' settings into parts that each fit into one value of the store or one frame of a
 * peer link. A large subtree is split over several parts.
 *
 * <p>Thread safety: stateless.
 */
public final class SnapshotWriter {
  /** Maximum number of characters of keys and values in a part, well under a megabyte as JSON. */
  public static final int MAX_PART_CHARS = 300_000;

  private static final int SECTION_OVERHEAD_CHARS = 64;

  private SnapshotWriter() {}

  /** Returns the parts of {@code teams} at {@code entry}, at least one. */
  public static List<ConfigSnapshot> write(
      long entry, SortedMap<String, Team> teams, int maxPartChars) {
    List<List<TeamSnapshot>> parts = new ArrayList<>();
    List<TeamSnapshot> current = new ArrayList<>();
    parts.add(current);
    int chars = 0;
    for (Map.Entry<String, Team> team : teams.entrySet()) {
      List<SectionChange> sections = new ArrayList<>();
      for (Map.Entry<String, Map<String, String>> section : team.getValue().sections().entrySet()) {
        int size = size(section);
        if (chars + size > maxPartChars && chars > 0) {
          current.add(teamSnapshot(team, sections));
          sections = new ArrayList<>();
          current = new ArrayList<>();
          parts.add(current);
          chars = 0;
        }
        sections.add(new SectionChange(section.getKey(), section.getValue()));
        chars += size;
      }
      current.add(teamSnapshot(team, sections));
    }
    List<ConfigSnapshot> snapshots = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      snapshots.add(new ConfigSnapshot(entry, i, parts.size(), List.copyOf(parts.get(i))));
    }
    return snapshots;
  }

  private static TeamSnapshot teamSnapshot(
      Map.Entry<String, Team> team, List<SectionChange> sections) {
    return new TeamSnapshot(team.getKey(), team.getValue().revision(), List.copyOf(sections));
  }

  private static int size(Map.Entry<String, Map<String, String>> section) {
    int chars = section.getKey().length() + SECTION_OVERHEAD_CHARS;
    for (Map.Entry<String, String> value : section.getValue().entrySet()) {
      chars += value.getKey().length() + value.getValue().length();
    }
    return chars;
  }
}
