package io.hickorydrift.core.config;

import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.SectionChange;
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
 * based on an outdated revision of its subtree is kept in the log but changes nothing, in the same
 * way at each instance.
 *
 * <p>Thread safety: confined to one thread; the teams it returns are immutable.
 */
public final class ConfigLog {
  private final List<ConfigEntry> entries = new ArrayList<>();
  private final SortedMap<String, Team> teams = new TreeMap<>();

  /** Returns the number of the last entry in force, 0 for none. */
  public long applied() {
    return entries.size();
  }

  /** Returns all teams with settings. */
  public SortedMap<String, Team> teams() {
    return Collections.unmodifiableSortedMap(new TreeMap<>(teams));
  }

  /** Returns a team's settings. */
  public Team team(String name) {
    return teams.getOrDefault(name, Team.EMPTY);
  }

  /** Returns up to {@code most} entries from {@code first} on. */
  public List<ConfigEntry> from(long first, int most) {
    int start = (int) Math.min(entries.size(), Math.max(0, first - 1));
    int count = Math.min(most, entries.size() - start);
    return List.copyOf(entries.subList(start, start + count));
  }

  /** Applies those of {@code offered} that come next; returns whether any did. */
  public boolean apply(List<ConfigEntry> offered) {
    boolean changed = false;
    for (ConfigEntry entry : offered) {
      if (entry.number() == applied() + 1) {
        entries.add(entry);
        applyChanges(entry);
        changed = true;
      }
    }
    return changed;
  }

  /** Returns whether {@code entry} took effect when it was applied. */
  public boolean tookEffect(ConfigEntry entry) {
    return entry.number() >= 1
        && entry.number() <= applied()
        && effective.get((int) entry.number() - 1);
  }

  private final List<Boolean> effective = new ArrayList<>();

  private void applyChanges(ConfigEntry entry) {
    Team team = team(entry.team());
    boolean current = team.revision() == entry.baseRevision();
    effective.add(current);
    if (!current) {
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
