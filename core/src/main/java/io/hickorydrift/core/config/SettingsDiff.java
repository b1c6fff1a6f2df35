package io.hickorydrift.core.config;

import io.hickorydrift.core.message.SectionChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Computes the changes that turn one subtree into another.
 *
 * <p>Thread safety: stateless.
 */
public final class SettingsDiff {
  private SettingsDiff() {}

  /** Returns the changed sections in order; empty if both are equal. */
  public static List<SectionChange> between(
      SortedMap<String, Map<String, String>> current,
      SortedMap<String, Map<String, String>> declared) {
    SortedSet<String> names = new TreeSet<>(current.keySet());
    names.addAll(declared.keySet());
    List<SectionChange> changes = new ArrayList<>();
    for (String name : names) {
      Map<String, String> values = declared.get(name);
      if (values == null || !values.equals(current.get(name))) {
        changes.add(new SectionChange(name, values));
      }
    }
    return changes;
  }
}
