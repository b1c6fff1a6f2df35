package io.hickorydrift.core.config;

import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.SectionChange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Log of the accepted configuration entries, and the settings that result from them.
 *
 * <p>Invariants: entries are applied in order, each exactly once, and never reverted. An entry
 * based on an outdated revision of its subtree changes nothing; all instances decide this alike.
 * Only the latest entries are retained; a snapshot replaces the earlier ones.
 *
 * <p>Thread safety: confined to one thread; the teams it returns are immutable.
 */
public final class ConfigLog {
  /** Number of entries retained for peers that lag and for the detection of retried changes. */
  public static final int MAX_RETAINED_ENTRIES = 1_024;

  private final ArrayDeque<ConfigEntry> retained = new ArrayDeque<>();
  private final SortedMap<String, Team> teams = new TreeMap<>();
  private long lastApplied;

  /** Returns the number of the last applied entry, 0 for none. */
  public long lastApplied() {
    return lastApplied;
  }

  /** Returns all teams with settings. */
  public SortedMap<String, Team> teams() {
    return Collections.unmodifiableSortedMap(new TreeMap<>(teams));
  }

  /** Returns a team's settings. */
  public Team team(String name) {
    return teams.getOrDefault(name, Team.EMPTY);
  }

  /** Returns whether all entries from number {@code first} on are retained. */
  public boolean retainsFrom(long first) {
    return first > lastApplied - retained.size();
  }

  /** Returns up to {@code max} retained entries from number {@code first} on. */
  public List<ConfigEntry> retainedEntries(long first, int max) {
    List<ConfigEntry> entries = new ArrayList<>();
    for (ConfigEntry entry : retained) {
      if (entry.number() >= first && entries.size() < max) {
        entries.add(entry);
      }
    }
    return entries;
  }

  /** Returns the retained entry with {@code changeId}, or null. */
  public ConfigEntry findByChangeId(String changeId) {
    for (ConfigEntry entry : retained) {
      if (entry.changeId().equals(changeId)) {
        return entry;
      }
    }
    return null;
  }

  /** Applies the entries that directly follow the last applied one; returns whether any did. */
  public boolean apply(List<ConfigEntry> entries) {
    boolean changed = false;
    for (ConfigEntry entry : entries) {
      if (entry.number() == lastApplied + 1) {
        lastApplied = entry.number();
        retain(entry);
        applyChanges(entry);
        changed = true;
      }
    }
    return changed;
  }

  /** Restores a snapshot if it is newer than the last applied entry; returns whether it was. */
  public boolean restore(long entry, SortedMap<String, Team> snapshot) {
    if (entry <= lastApplied) {
      return false;
    }
    lastApplied = entry;
    retained.clear();
    teams.clear();
    teams.putAll(snapshot);
    return true;
  }

  private void retain(ConfigEntry entry) {
    retained.addLast(entry);
    if (retained.size() > MAX_RETAINED_ENTRIES) {
      retained.removeFirst();
    }
  }

  private void applyChanges(ConfigEntry entry) {
    Team team = team(entry.team());
    if (team.revision() != entry.baseRevision()) {
      return;
    }
    SortedMap<String, Map<String, String>> sections = new TreeMap<>(team.sections());
    for (SectionChange change : entry.changes()) {
      if (change.values() == null) {
        sections.remove(change.section());
      } else {
        sections.put(change.section(), Map.copyOf(change.values()));
      }
    }
    teams.put(entry.team(), new Team(entry.number(), sections));
  }
}
