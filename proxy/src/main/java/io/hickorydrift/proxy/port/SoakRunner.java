package io.hickorydrift.proxy.port;

import java.io.PrintStream;

/**
 * Soak test of gateway processes under injected faults. Loaded by {@link java.util.ServiceLoader}.
 */
public interface SoakRunner {
  /**
   * Options of a run.
   *
   * @param seed seed of all random choices
   * @param seconds duration of the fault injection in seconds
   * @param instances number of gateway instances
   * @param plantedViolation name of the check for which to plant a violation, or empty
   * @param restoresStore whether the store may be restored from an older copy
   * @param evacuates whether failure domains are evacuated
   */
  record Options(
      long seed,
      long seconds,
      int instances,
      String plantedViolation,
      boolean restoresStore,
      boolean evacuates) {}

  /** Runs the soak test, prints a report, and returns the number of violations found. */
  int run(Options options, PrintStream out) throws Exception;
}
