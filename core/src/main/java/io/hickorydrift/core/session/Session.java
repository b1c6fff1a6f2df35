package io.hickorydrift.core.session;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Session of one organisation: the highest acknowledged position in each group.
 *
 * <p>Invariant: positions never decrease. Thread safety: immutable.
 *
 * @param organisation organisation that the session belongs to
 * @param positions highest acknowledged position by group
 */
public record Session(String organisation, SortedMap<String, Position> positions) {
  /** Creates a session with a copy of the positions. */
  public Session(String organisation, SortedMap<String, Position> positions) {
    this.organisation = organisation;
    this.positions = Collections.unmodifiableSortedMap(new TreeMap<>(positions));
  }

  /** Returns a session without acknowledged positions. */
  public static Session empty(String organisation) {
    return new Session(organisation, new TreeMap<>(Map.of()));
  }

  /** Returns the minimum position that a read in {@code group} has to observe. */
  public Position requiredPosition(String group) {
    return positions.getOrDefault(group, Positions.START);
  }

  /** Returns this session with {@code position} acknowledged in {@code group}. */
  public Session advance(String group, Position position) {
    if (position == null || Positions.reaches(requiredPosition(group), position)) {
      return this;
    }
    SortedMap<String, Position> advanced = new TreeMap<>(positions);
    advanced.put(group, position);
    return new Session(organisation, advanced);
  }
}
