package io.hickorydrift.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The time after an outage of a target, in which it works through what has piled up. Load pattern:
 * a target serves nothing for seconds while requests arrive, and their callers all return at once.
 * If most are refused on arrival, few requests of each organisation wait at a time, so that nearly
 * each service needs a connection to be opened, which takes as long as a statement.
 *
 * <p>In this phase requests wait instead of being refused on arrival, and those of organisations
 * with an idle connection are served first. It ends when nothing waits, and at the latest when it
 * has lasted as long as the outage, so that a lasting overload is refused on arrival again.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class RecoveryPhase {
  // Longer than a statement of most routes may wait: shorter pauses leave no wave of returning
  // callers.
  private static final long MIN_OUTAGE_NANOS = 1_000_000_000L;

  private boolean waiting;
  private long waitingSinceNanos;
  private boolean active;
  private long untilNanos;

  /** Records a request that cannot be served at once. */
  public void recordWaiting(long nowNanos) {
    if (!waiting) {
      waiting = true;
      waitingSinceNanos = nowNanos;
    }
  }

  /**
   * Records that a waiting request was served.
   *
   * @param othersWait whether further requests wait
   */
  public void recordServed(boolean othersWait, long nowNanos) {
    long unservedNanos = waiting ? nowNanos - waitingSinceNanos : 0;
    if (unservedNanos > MIN_OUTAGE_NANOS) {
      active = true;
      untilNanos = nowNanos + unservedNanos;
    }
    active &= othersWait && untilNanos - nowNanos > 0;
    waiting = othersWait;
    waitingSinceNanos = nowNanos;
  }

  /** Returns whether the target recovers from an outage. */
  public boolean isActive(long nowNanos) {
    return active && untilNanos - nowNanos > 0;
  }

  /** Returns {@code ordered}, in the recovery those first whose connection is ready. */
  public <T> List<T> serviceOrder(List<T> ordered, Predicate<T> isReady, long nowNanos) {
    if (!isActive(nowNanos)) {
      return ordered;
    }
    List<T> order = new ArrayList<>(ordered.size());
    List<T> others = new ArrayList<>();
    ordered.forEach(each -> (isReady.test(each) ? order : others).add(each));
    order.addAll(others);
    return order;
  }
}
