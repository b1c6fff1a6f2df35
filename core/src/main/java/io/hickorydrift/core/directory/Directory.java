package io.hickorydrift.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * All targets that announce themselves, by group.
 *
 * <p>Invariant: a target is in exactly one group. Thread safety: confined to one thread.
 */
public final class Directory {
  private final Map<String, GroupState> groups = new HashMap<>();
  private final Map<String, String> groupOf = new HashMap<>();
  private final Consumer<TargetState> onRemoved;

  /** Starts empty; {@code onRemoved} hears of targets that went or began anew. */
  public Directory(Consumer<TargetState> onRemoved) {
    this.onRemoved = onRemoved;
  }

  /** Returns the group {@code name}, empty if no target announced itself for it. */
  public GroupState group(String name) {
    return groups.computeIfAbsent(name, GroupState::new);
  }

  /** Returns all groups that were asked for or that have targets. */
  public Collection<GroupState> groups() {
    return groups.values();
  }

  /** Returns what all targets say of themselves. */
  public List<TargetEntry> entries() {
    List<TargetEntry> entries = new ArrayList<>();
    for (GroupState group : groups.values()) {
      group.targets().forEach(target -> entries.add(target.entry()));
    }
    return entries;
  }

  /** Takes in an entry as of {@code revision}. */
  public void put(TargetEntry entry, long revision) {
    String before = groupOf.get(entry.id());
    TargetState held = before == null ? null : group(before).targetsById().get(entry.id());
    boolean same =
        held != null
            && before.equals(entry.group())
            && held.entry().startedAtMs() == entry.startedAtMs()
            && held.entry().address().equals(entry.address());
    if (same) {
      held.update(entry, revision);
      return;
    }
    remove(entry.id());
    groupOf.put(entry.id(), entry.group());
    group(entry.group()).targetsById().put(entry.id(), new TargetState(entry, revision));
  }

  /** The target's entry is gone. */
  public void remove(String id) {
    String group = groupOf.remove(id);
    if (group != null) {
      onRemoved.accept(group(group).targetsById().remove(id));
    }
  }
}
