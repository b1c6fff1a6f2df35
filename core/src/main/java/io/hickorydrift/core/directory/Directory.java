package io.hickorydrift.core.directory;

import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * All registered targets, by group.
 *
 * <p>Invariant: a target is in exactly one group; an entry of a new era of the store does not
 * replace one that its target wrote later, and does not bring back a target that has left. Thread
 * safety: confined to one thread.
 */
public final class Directory {
  private static final int MAX_DEPARTED = 1_000;

  private final Map<String, GroupState> groups = new HashMap<>();
  private final Map<String, String> groupByTargetId = new HashMap<>();
  private final Map<String, TargetState> departed = new LinkedHashMap<>();
  private final Consumer<TargetState> onRemoved;
  private long changeCount;
  private final Evacuations evacuations;
  private final LongSupplier nowNanos;

  /**
   * Creates an empty directory; {@code onRemoved} receives targets that were removed or replaced.
   */
  public Directory(Consumer<TargetState> onRemoved) {
    this(onRemoved, new Evacuations());
  }

  /**
   * Creates an empty directory whose targets accept no new work while their failure domains are
   * among {@code evacuations}.
   */
  public Directory(Consumer<TargetState> onRemoved, Evacuations evacuations) {
    this(onRemoved, evacuations, () -> 0);
  }

  /** Creates an empty directory that records with {@code nowNanos} when targets depart. */
  public Directory(
      Consumer<TargetState> onRemoved, Evacuations evacuations, LongSupplier nowNanos) {
    this.onRemoved = onRemoved;
    this.evacuations = evacuations;
    this.nowNanos = nowNanos;
  }

  /** Returns the group {@code name}; it is empty if no target is registered for it. */
  public GroupState group(String name) {
    return groups.computeIfAbsent(name, GroupState::new);
  }

  /** Returns the targets of the group {@code name} without adding that to {@link #groups}. */
  public Collection<TargetState> targetsOf(String name) {
    GroupState group = groups.get(name);
    return group == null ? List.of() : group.targets();
  }

  /** Returns the primary of the group {@code name}, or null if it has none or is not known. */
  public TargetState primaryOf(String name) {
    GroupState group = groups.get(name);
    return group == null ? null : group.primary();
  }

  /** Returns all groups that were looked up or that have targets. */
  public Collection<GroupState> groups() {
    return groups.values();
  }

  /** Returns a number that changes whenever an entry is written, added or removed. */
  public long changeCount() {
    return changeCount;
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
   * Adds or updates an entry as of {@code position} of the store. A target that restarted or moved
   * to another group or address is replaced.
   *
   * @return false if the entry was ignored since a later one of the target is known from an earlier
   *     era of the store
   */
  public boolean put(TargetEntry entry, StorePosition position) {
    String previousGroup = groupByTargetId.get(entry.id());
    TargetState known =
        previousGroup == null ? null : group(previousGroup).targetsById().get(entry.id());
    if (isOutdated(entry, position, known)) {
      return false;
    }
    changeCount++;
    boolean sameProcess =
        known != null
            && previousGroup.equals(entry.group())
            && known.entry().isOfSameStart(entry)
            && known.entry().address().equals(entry.address());
    if (sameProcess) {
      known.update(entry, position);
    } else {
      replace(known, entry, position);
    }
    GroupState group = group(entry.group());
    group.logHolders().recordEntry(entry);
    if (group.primary() != null) {
      group.logHolders().recordPrimary(group.primary().entry(), nowNanos.getAsLong());
    }
    return true;
  }

  private void replace(TargetState known, TargetEntry entry, StorePosition position) {
    if (known != null && !known.entry().isOfSameStart(entry)) {
      recordDeparture(known.entry());
    }
    forget(entry.id());
    departed.remove(entry.id());
    groupByTargetId.put(entry.id(), entry.group());
    GroupState group = group(entry.group());
    group
        .targetsById()
        .put(entry.id(), new TargetState(entry, position, evacuations, group.writeRows()));
  }

  private void recordDeparture(TargetEntry entry) {
    group(entry.group()).logHolders().recordDeparture(entry, nowNanos.getAsLong());
  }

  private boolean isOutdated(TargetEntry entry, StorePosition position, TargetState known) {
    TargetState gone = departed.get(entry.id());
    if (known != null) {
      return position.era() > known.position().era() && entry.isOlderThan(known.entry());
    }
    return gone != null
        && position.era() > gone.position().era()
        && !gone.entry().isOlderThan(entry);
  }

  /** Removes the target {@code id}, which has left, if it is registered. */
  public void remove(String id) {
    TargetState removed = forget(id);
    if (removed != null) {
      recordDeparture(removed.entry());
      departed.put(id, removed);
      if (departed.size() > MAX_DEPARTED) {
        departed.remove(departed.keySet().iterator().next());
      }
    }
  }

  /**
   * Removes the target {@code id}, if it is registered, without taking it for one that has left:
   * any later entry brings it back.
   */
  public TargetState forget(String id) {
    String group = groupByTargetId.remove(id);
    if (group == null) {
      return null;
    }
    changeCount++;
    TargetState removed = group(group).targetsById().remove(id);
    onRemoved.accept(removed);
    return removed;
  }
}
