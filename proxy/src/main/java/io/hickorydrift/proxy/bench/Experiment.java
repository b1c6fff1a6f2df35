package io.hickorydrift.proxy.bench;

import java.io.PrintStream;

/** One measurement on a local fleet. Implementations are used once, by one thread. */
public interface Experiment {
  /** Returns the name on the command line. */
  String name();

  /** Returns what it measures in one line. */
  String summary();

  /** Measures and prints a table in Markdown. */
  void run(PrintStream out) throws Exception;
}
