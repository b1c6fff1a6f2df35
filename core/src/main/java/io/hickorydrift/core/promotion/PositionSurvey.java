package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One round of queries for the positions that the replicas of a group have received. It concludes
 * with the last report or at its timeout, whichever comes first.
 *
 * <p>Invariant: concludes once; each target's first report counts, and reports after the conclusion
 * change nothing. So a late report cannot be mistaken for one of the next survey. Thread safety:
 * confined to one thread.
 */
public final class PositionSurvey {
  private final Set<TargetState> pending;
  private final Map<TargetState, Position> received = new LinkedHashMap<>();
  private boolean concluded;

  /** Creates a survey of {@code targets}. */
  public PositionSurvey(Collection<TargetState> targets) {
    pending = new HashSet<>(targets);
  }

  /**
   * Records the report of {@code target}; {@code position} is null if it did not report one.
   * Returns whether this report concludes the survey.
   */
  public boolean report(TargetState target, Position position) {
    if (concluded || !pending.remove(target)) {
      return false;
    }
    if (position != null) {
      received.put(target, position);
    }
    concluded = pending.isEmpty();
    return concluded;
  }

  /** Concludes the survey at its timeout; returns false if it had concluded before. */
  public boolean conclude() {
    boolean first = !concluded;
    concluded = true;
    return first;
  }

  /** Returns the reported positions. */
  public Map<TargetState, Position> received() {
    return Collections.unmodifiableMap(received);
  }
}
