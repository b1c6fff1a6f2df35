package io.hickorydrift.core.evacuation;

import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains whose targets get no new work, as the operator has written them to the store.
 * Load pattern: all targets of a domain, primaries among them, lose their callers within seconds
 * while the domain still works, and get them back later.
 *
 * <p>Invariant: an event, or a snapshot, of an older position of the store changes nothing, so that
 * an entry that is seen again cannot restore an earlier state. Thread safety: confined to one
 * thread.
 */
public final class Evacuations {
  /**
   * A change of the set.
   *
   * @param domain failure domain
   * @param begun whether its evacuation began, rather than ended
   * @param position position of the store at which it did
   */
  public record Change(String domain, boolean begun, StorePosition position) {}

  /**
   * Last event of a domain.
   *
   * @param position position of the store
   * @param active whether the domain is evacuated since
   * @param learnedNanos time at which this instance learned of the evacuation
   */
  private record Event(StorePosition position, boolean active, long learnedNanos) {}

  // Keys are store keys of at most a few hundred characters.
  private static final int MAX_NAME_LENGTH = 255;
  // Ended evacuations are remembered until the next snapshot; an operator ends a few in that time.
  private static final int MAX_ENDED = 1_000;

  private final Map<String, Event> events = new LinkedHashMap<>();
  private StorePosition snapshotPosition = StorePosition.NONE;

  /** Returns whether {@code domain} may be the name of a failure domain. */
  public static boolean isValidName(String domain) {
    return !domain.isEmpty()
        && domain.length() <= MAX_NAME_LENGTH
        && domain.chars().noneMatch(c -> Character.isWhitespace(c) || Character.isISOControl(c));
  }

  /** Returns whether {@code domain} is evacuated. */
  public boolean isEvacuated(String domain) {
    Event last = events.get(domain);
    return last != null && last.active;
  }

  /**
   * Returns whether {@code domain} is evacuated, and this instance learned of it {@code graceNanos}
   * or longer before {@code nowNanos}.
   */
  public boolean isOverdue(String domain, long graceNanos, long nowNanos) {
    Event last = events.get(domain);
    return last != null && last.active && nowNanos - last.learnedNanos >= graceNanos;
  }

  /** Returns the evacuated domains in order of their names. */
  public Set<String> domains() {
    Set<String> domains = new TreeSet<>();
    events.forEach(
        (domain, event) -> {
          if (event.active) {
            domains.add(domain);
          }
        });
    return domains;
  }

  /** Applies that the evacuation of {@code domain} was written at {@code position}. */
  public List<Change> begin(String domain, StorePosition position, long nowNanos) {
    return apply(domain, true, position, nowNanos);
  }

  /** Applies that the evacuation of {@code domain} was withdrawn at {@code position}. */
  public List<Change> end(String domain, StorePosition position, long nowNanos) {
    return apply(domain, false, position, nowNanos);
  }

  private List<Change> apply(String domain, boolean active, StorePosition position, long nowNanos) {
    Event last = events.get(domain);
    boolean known = last != null && !position.isAfter(last.position);
    if (known || !position.isAfter(snapshotPosition)) {
      return List.of();
    }
    boolean before = last != null && last.active;
    // A repeated write does not extend the time that open transactions have.
    long learnedNanos = before ? last.learnedNanos : nowNanos;
    // The last event moves to the end, so that the oldest ended evacuation is forgotten first.
    events.remove(domain);
    events.put(domain, new Event(position, active, learnedNanos));
    forgetOldestEnded();
    return before == active ? List.of() : List.of(new Change(domain, active, position));
  }

  private void forgetOldestEnded() {
    long ended = events.values().stream().filter(event -> !event.active).count();
    if (ended > MAX_ENDED) {
      events.entrySet().stream()
          .filter(event -> !event.getValue().active)
          .map(Map.Entry::getKey)
          .findFirst()
          .ifPresent(events::remove);
    }
  }

  /**
   * Replaces the set by the one that the store holds at {@code position}.
   *
   * @param active position of the last write of each evacuation, by domain
   * @return the changes, or none if a later event or snapshot was applied before
   */
  public List<Change> replaceAll(
      Map<String, StorePosition> active, StorePosition position, long nowNanos) {
    if (snapshotPosition.isAfter(position)
        || events.values().stream().anyMatch(event -> event.position.isAfter(position))) {
      return List.of();
    }
    snapshotPosition = position;
    List<Change> changes = new ArrayList<>();
    for (String domain : domains()) {
      if (!active.containsKey(domain)) {
        changes.add(new Change(domain, false, position));
      }
    }
    Map<String, Event> newer = new HashMap<>();
    active.forEach(
        (domain, writtenAt) -> {
          boolean before = isEvacuated(domain);
          long learnedNanos = before ? events.get(domain).learnedNanos : nowNanos;
          newer.put(domain, new Event(writtenAt, true, learnedNanos));
          if (!before) {
            changes.add(new Change(domain, true, writtenAt));
          }
        });
    events.clear();
    events.putAll(newer);
    return changes;
  }
}
