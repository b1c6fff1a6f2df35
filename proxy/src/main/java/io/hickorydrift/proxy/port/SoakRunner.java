package io.hickorydrift.proxy.port;

import java.io.PrintStream;

/**
 * Soak test of gateway processes under injected faults. Loaded by {@link java.util.ServiceLoader}.
 */
public interface SoakRunner {
  /**
   * Runs the soak test and prints a report.
   *
   * @param seed seed of all random choices
   * @param seconds duration of the fault injection in seconds
   * @param instances number of gateway instances
   * @param plantedViolation name of the check for which to plant a violation, or empty
   * @return number of violations found
   */
  int run(long seed, long seconds, int instances, String plantedViolation, PrintStream out)
      throws Exception;
}
