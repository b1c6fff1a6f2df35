package io.hickorydrift.core.scheduling;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A target with slots and a queue of its own, first come, first served. */
final class ReplayedTarget {
  private static final int MAX_QUEUED = 32;
  private static final long ONE_WAY_NANOS = 1_000_000L;

  private record Work(long serviceNanos, Consumer<Boolean> onDone) {}

  private final ReplayedClock clock;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  int slots;
  int busyAnswers;
  private int running;

  ReplayedTarget(ReplayedClock clock, int slots) {
    this.clock = clock;
    this.slots = slots;
  }

  /** Runs work in a slot; {@code onDone} receives false if the queue is full. */
  void run(long serviceNanos, Consumer<Boolean> onDone) {
    clock.after(ONE_WAY_NANOS, () -> arrived(serviceNanos, onDone));
  }

  private void arrived(long serviceNanos, Consumer<Boolean> onDone) {
    if (queue.size() >= MAX_QUEUED) {
      busyAnswers++;
      clock.after(ONE_WAY_NANOS, () -> onDone.accept(false));
      return;
    }
    queue.add(new Work(serviceNanos, onDone));
    startNext();
  }

  /** Starts queued work while slots are free. */
  void startNext() {
    while (running < slots && !queue.isEmpty()) {
      Work work = queue.poll();
      running++;
      clock.after(
          work.serviceNanos,
          () -> {
            running--;
            clock.after(ONE_WAY_NANOS, () -> work.onDone.accept(true));
            startNext();
          });
    }
  }
}
