package io.hickorydrift.proxy.bench;

import java.io.PrintStream;

/** One measurement on a local fleet. Implementations are used once, by one thread. */
public interface Experiment {
  /** Returns the name that selects it on the command line. */
  String name();

  /** Returns a description of what is measured, in one line. */
  String summary();

  /** Takes the measurement and prints it as a Markdown table. */
  void run(PrintStream out) throws Exception;
}
