package io.hickorydrift.core.placement;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Group;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The homes of groups under one state of the settings, each worked out when it is first asked for.
 *
 * <p>Thread safety: safe.
 */
public final class HomeTable {
  private final Settings settings;
  private final Map<String, List<Integer>> slots = new ConcurrentHashMap<>();

  /** Places homes under {@code settings}. */
  public HomeTable(Settings settings) {
    this.settings = settings;
  }

  /** Returns the settings that the table stands for. */
  public Settings settings() {
    return settings;
  }

  /** Returns the slots of the homes of {@code group}. */
  public List<Integer> slotsOf(Group group) {
    return slots.computeIfAbsent(group.name(), name -> HomeSlots.slotsOf(settings, group));
  }
}
