package io.hickorydrift.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * All registered targets, by group.
 *
 * <p>Invariant: a target is in exactly one group. Thread safety: confined to one thread.
 */
public final class Directory {
  private final Map<String, GroupState> groups = new HashMap<>();
  private final Map<String, String> groupByTargetId = new HashMap<>();
  private final Consumer<TargetState> onRemoved;

  /**
   * Creates an empty directory; {@code onRemoved} receives targets that were removed or replaced.
   */
  public Directory(Consumer<TargetState> onRemoved) {
    this.onRemoved = onRemoved;
  }

  /** Returns the group {@code name}; it is empty if no target is registered for it. */
  public GroupState group(String name) {
    return groups.computeIfAbsent(name, GroupState::new);
  }

  /** Returns all groups that were looked up or that have targets. */
  public Collection<GroupState> groups() {
    return groups.values();
  }

  /** Returns the entries of all targets. */
  public List<TargetEntry> entries() {
    List<TargetEntry> entries = new ArrayList<>();
    for (GroupState group : groups.values()) {
      group.targets().forEach(target -> entries.add(target.entry()));
    }
    return entries;
  }

  /**
   * Adds or updates an entry as of store revision {@code revision}. A target that restarted or
   * moved to another group or address is replaced.
   */
  public void put(TargetEntry entry, long revision) {
    String previousGroup = groupByTargetId.get(entry.id());
    TargetState known =
        previousGroup == null ? null : group(previousGroup).targetsById().get(entry.id());
    boolean sameProcess =
        known != null
            && previousGroup.equals(entry.group())
            && known.entry().startedAtMs() == entry.startedAtMs()
            && known.entry().address().equals(entry.address());
    if (sameProcess) {
      known.update(entry, revision);
      return;
    }
    remove(entry.id());
    groupByTargetId.put(entry.id(), entry.group());
    group(entry.group()).targetsById().put(entry.id(), new TargetState(entry, revision));
  }

  /** Removes the target {@code id}, if it is registered. */
  public void remove(String id) {
    String group = groupByTargetId.remove(id);
    if (group != null) {
      onRemoved.accept(group(group).targetsById().remove(id));
    }
  }
}
