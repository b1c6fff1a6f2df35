package io.hickorydrift.core.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Clock of a replay: time passes from one scheduled action to the next. */
final class ReplayedClock {
  private record Action(long atNanos, long sequence, Runnable action) {}

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(Action::atNanos).thenComparingLong(Action::sequence));
  private long nowNanos;
  private long sequence;

  long nowNanos() {
    return nowNanos;
  }

  void after(long nanos, Runnable action) {
    actions.add(new Action(nowNanos + nanos, sequence++, action));
  }

  void runUntil(long untilNanos) {
    while (!actions.isEmpty() && actions.peek().atNanos <= untilNanos) {
      Action next = actions.poll();
      nowNanos = next.atNanos;
      next.action.run();
    }
    nowNanos = untilNanos;
  }
}
