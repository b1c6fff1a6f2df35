package io.hickorydrift.proxy.gateway;

import java.util.function.Consumer;

/**
 * Logs the changes of the fleet: one line for a single change, and one for all changes that are
 * applied together. Load pattern: a fleet of 80 instances starts, and each instance applies
 * snapshots with all others; a line for each member and instance would be 6,400 lines within
 * seconds.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class FleetChangeLog {
  private final Consumer<String> output;
  private boolean together;
  private int changes;
  private String lastInstance;

  /** Creates a log that writes each line to {@code output}. */
  FleetChangeLog(Consumer<String> output) {
    this.output = output;
  }

  /**
   * Records that {@code instance} has joined, left or changed, which leaves {@code size} members.
   */
  void record(int size, String instance) {
    changes++;
    lastInstance = instance;
    if (!together) {
      write(size);
    }
  }

  /** Begins changes that are applied together. */
  void begin() {
    together = true;
  }

  /** Ends changes that are applied together, which leave {@code size} members. */
  void end(int size) {
    together = false;
    write(size);
  }

  private void write(int size) {
    if (changes == 1) {
      output.accept("event=fleet_changed size=" + size + " instance=" + lastInstance);
    } else if (changes > 1) {
      output.accept("event=fleet_changed size=" + size + " changes=" + changes);
    }
    changes = 0;
  }
}
