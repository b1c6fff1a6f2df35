package io.hickorydrift.core.directory;

import io.hickorydrift.core.freshness.ObservedPositions;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Targets of a group that may hold acknowledged commits although they are not among its replicas:
 * those whose entries were removed, the logs of targets that restarted without them, and the last
 * primary, as long as no replica is known to have received what it held when it was promoted.
 *
 * <p>Invariant: a target counts until its time is over, or until a position of the primary that was
 * observed after its departure, and so follows all commits that it had confirmed, was received
 * elsewhere. Thread safety: confined to one thread.
 */
public final class LogHolders {
  /**
   * Time for which a target that departed may come back with its log; longer than a restart or the
   * replacement of a draining target by its successor takes.
   */
  public static final long RETURN_NANOS = 20_000_000_000L;

  private static final int MAX_DEPARTURES = 100;

  private record Departure(TargetEntry entry, long nanos) {}

  private final ObservedPositions observed;
  private final List<Departure> departures = new ArrayList<>();
  private TargetEntry primary;
  private boolean primaryChanged;
  private long primaryChangedNanos;

  LogHolders(ObservedPositions observed) {
    this.observed = observed;
  }

  /** Records that the entry of a target was removed, or that it restarted without its log. */
  void recordDeparture(TargetEntry departed, long nowNanos) {
    // The commits of a primary are at replicas, and a draining one passes its log on.
    if (departed.primary() && !departed.draining()) {
      return;
    }
    departures.add(new Departure(departed, nowNanos));
    if (departures.size() > MAX_DEPARTURES) {
      departures.remove(0);
    }
  }

  /** Records that a target is registered; one that did not restart has brought its log back. */
  void recordEntry(TargetEntry entry) {
    departures.removeIf(each -> each.entry.isOfSameStart(entry));
  }

  /** Records which target is the primary. */
  void recordPrimary(TargetEntry current, long nowNanos) {
    if (primary != null && !primary.isOfSameStart(current)) {
      primaryChanged = true;
      primaryChangedNanos = nowNanos;
      observed.beginBaseline(nowNanos);
    }
    primary = current;
  }

  /**
   * Returns the ids of the targets beside {@code present} that may hold commits that a log up to
   * {@code received} lacks.
   */
  public List<String> beyond(Position received, Collection<TargetState> present, long nowNanos) {
    departures.removeIf(each -> nowNanos - each.nanos > RETURN_NANOS);
    List<String> ids = new ArrayList<>();
    if (!isPrimaryCovered(received, nowNanos)) {
      ids.add(primary.id());
    }
    for (Departure each : departures) {
      boolean covered =
          isReached(observed.lowerBound(each.nanos), received) || hasSuccessor(each, present);
      if (!covered) {
        ids.add(each.entry.id());
      }
    }
    return ids;
  }

  private boolean isPrimaryCovered(Position received, long nowNanos) {
    return !primaryChanged
        || nowNanos - primaryChangedNanos > RETURN_NANOS
        || isReached(observed.baseline(), received);
  }

  private static boolean isReached(Position bound, Position received) {
    return bound != null && Positions.reaches(received, bound);
  }

  /** Returns whether the log was transferred to a new target at the address of a draining one. */
  private static boolean hasSuccessor(Departure departure, Collection<TargetState> present) {
    return departure.entry.draining()
        && present.stream()
            .anyMatch(each -> each.entry().address().equals(departure.entry.address()));
  }
}
