package io.hickorydrift.proxy.port;

import java.io.PrintStream;

/** Runs gateways as processes under faults. Found by {@link java.util.ServiceLoader}. */
public interface SoakRunner {
  /**
   * Runs and prints a report.
   *
   * @param seed of everything that is drawn
   * @param seconds that faults last
   * @param instances gateways
   * @param plant name of a check to break on purpose, or empty
   * @return how many violations were seen
   */
  int run(long seed, long seconds, int instances, String plant, PrintStream out) throws Exception;
}
