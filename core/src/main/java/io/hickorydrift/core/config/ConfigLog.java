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
 * The accepted configuration entries that are in force at an instance.
 *
 * <p>Invariants: entries are applied in order, each exactly once, and never taken back. An entry
 * based on an outdated revision of its subtree changes nothing, in the same way at each instance.
 * Only the latest entries are kept; a snapshot stands for those before.
 *
 * <p>Thread safety: confined to one thread; the teams it returns are immutable.
 */
public final class ConfigLog {
  /** Entries kept for peers that are a little behind and for recognising repeated changes. */
  public static final int MAX_RETAINED_ENTRIES = 1_024;

  private final ArrayDeque<ConfigEntry> kept = new ArrayDeque<>();
  private final SortedMap<String, Team> teams = new TreeMap<>();
  private long applied;

  /** Returns the number of the last entry in force, 0 for none. */
  public long lastApplied() {
    return applied;
  }

  /** Returns all teams with settings. */
  public SortedMap<String, Team> teams() {
    return Collections.unmodifiableSortedMap(new TreeMap<>(teams));
  }

  /** Returns a team's settings. */
  public Team team(String name) {
    return teams.getOrDefault(name, Team.EMPTY);
  }

  /** Returns whether all entries from {@code first} on are kept. */
  public boolean retainsFrom(long first) {
    return first > applied - kept.size();
  }

  /** Returns up to {@code most} of the kept entries from {@code first} on. */
  public List<ConfigEntry> retainedEntries(long first, int most) {
    List<ConfigEntry> entries = new ArrayList<>();
    for (ConfigEntry entry : kept) {
      if (entry.number() >= first && entries.size() < most) {
        entries.add(entry);
      }
    }
    return entries;
  }

  /** Returns the kept entry with {@code changeId}, or null. */
  public ConfigEntry findByChangeId(String changeId) {
    for (ConfigEntry entry : kept) {
      if (entry.changeId().equals(changeId)) {
        return entry;
      }
    }
    return null;
  }

  /** Applies those of {@code offered} that come next; returns whether any did. */
  public boolean apply(List<ConfigEntry> offered) {
    boolean changed = false;
    for (ConfigEntry entry : offered) {
      if (entry.number() == applied + 1) {
        applied = entry.number();
        keep(entry);
        applyChanges(entry);
        changed = true;
      }
    }
    return changed;
  }

  /** Takes over a snapshot if it is newer than what is in force; returns whether it was. */
  public boolean restore(long entry, SortedMap<String, Team> snapshot) {
    if (entry <= applied) {
      return false;
    }
    applied = entry;
    kept.clear();
    teams.clear();
    teams.putAll(snapshot);
    return true;
  }

  private void keep(ConfigEntry entry) {
    kept.addLast(entry);
    if (kept.size() > MAX_RETAINED_ENTRIES) {
      kept.removeFirst();
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
