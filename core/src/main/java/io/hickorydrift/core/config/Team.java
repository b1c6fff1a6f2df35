package io.hickorydrift.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The settings of one team: its subtree of sections and the entry that last changed it.
 *
 * <p>Thread safety: immutable.
 *
 * @param revision number of the configuration entry that last changed the subtree, 0 for none
 * @param sections keys and values by section
 */
public record Team(long revision, SortedMap<String, Map<String, String>> sections) {
  /** A team without settings. */
  public static final Team EMPTY = new Team(0, new TreeMap<>());

  /** Creates a team with a copy of the sections. */
  public Team(long revision, SortedMap<String, Map<String, String>> sections) {
    this.revision = revision;
    this.sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
  }
}
