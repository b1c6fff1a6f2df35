package io.hickorydrift.core.session;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a session of one organisation has had acknowledged, as the highest position in each group.
 *
 * <p>Invariant: positions never fall. Thread safety: immutable.
 *
 * @param organisation organisation that the session belongs to
 * @param positions highest acknowledged position by group
 */
public record Session(String organisation, SortedMap<String, Position> positions) {
  /** Copies the positions. */
  public Session(String organisation, SortedMap<String, Position> positions) {
    this.organisation = organisation;
    this.positions = Collections.unmodifiableSortedMap(new TreeMap<>(positions));
  }

  /** Returns a session that has seen nothing. */
  public static Session empty(String organisation) {
    return new Session(organisation, new TreeMap<>(Map.of()));
  }

  /** Returns the position that a read in {@code group} has to reach. */
  public Position requiredPosition(String group) {
    return positions.getOrDefault(group, Positions.START);
  }

  /** Returns this session after {@code position} was acknowledged in {@code group}. */
  public Session advance(String group, Position position) {
    if (position == null || Positions.reaches(requiredPosition(group), position)) {
      return this;
    }
    SortedMap<String, Position> advanced = new TreeMap<>(positions);
    advanced.put(group, position);
    return new Session(organisation, advanced);
  }
}
