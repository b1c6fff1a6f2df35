package io.hickorydrift.core.warmup;

/**
 * This instance's part of the bound on requests to a cold target. Load pattern: the home of a group
 * is lost or moves, or the fleet changes, while a target is cold; the former and the new holder of
 * a part together must keep the bound, although neither knows when the other has sent its last
 * request.
 *
 * <p>Invariant: a larger part is used only once it has been due for the time of a hand-over; a
 * smaller one holds at once. Thread safety: confined to one thread.
 */
final class WarmUpShare {
  // By this time instances may differ in when they learn of a change of the home or the fleet.
  private static final long VIEW_DIFFERENCE_NANOS = 500_000_000L;

  private double usablePerSecond;
  private double duePerSecond;
  private long dueSinceNanos;

  /** Sets the part that is due to this instance in its current view of the fleet. */
  void update(double perSecond, long nowNanos) {
    if (perSecond <= usablePerSecond) {
      usablePerSecond = perSecond;
      duePerSecond = perSecond;
      return;
    }
    if (perSecond != duePerSecond) {
      duePerSecond = perSecond;
      dueSinceNanos = nowNanos;
    }
    if (nowNanos - dueSinceNanos >= handOverNanos(perSecond)) {
      usablePerSecond = perSecond;
    }
  }

  /** Returns the time in which the requests of the former holder leave the window. */
  private static long handOverNanos(double perSecond) {
    return SlidingSecondLimiter.windowNanos(perSecond) + VIEW_DIFFERENCE_NANOS;
  }

  double usablePerSecond() {
    return usablePerSecond;
  }

  /**
   * Returns the part of one of several instances that all have connections to the target. The parts
   * are whole numbers, because fractions would allow more in some seconds; a bound that is smaller
   * than the fleet leaves some instances without a part.
   *
   * @param rank place of the instance in an order that all instances agree on, from 0
   */
  static double of(double perSecond, int rank, int instances) {
    if (perSecond < 1) {
      return rank == 0 ? perSecond : 0;
    }
    int whole = (int) perSecond;
    return whole / instances + (rank < whole % instances ? 1 : 0);
  }
}
