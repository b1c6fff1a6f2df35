package io.hickorydrift.core.placement;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Group;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Cache of the homes of groups under one version of the settings, each computed on first use.
 *
 * <p>Thread safety: safe.
 */
public final class HomeTable {
  private final Settings settings;
  private final Map<String, List<Integer>> slotsByGroup = new ConcurrentHashMap<>();

  /** Creates an empty cache for {@code settings}. */
  public HomeTable(Settings settings) {
    this.settings = settings;
  }

  /** Returns the settings that the homes are computed from. */
  public Settings settings() {
    return settings;
  }

  /** Returns the fleet-wide numbers of the home slots of {@code group}. */
  public List<Integer> slotsOf(Group group) {
    return slotsByGroup.computeIfAbsent(group.name(), name -> HomeSlots.slotsOf(settings, group));
  }
}
