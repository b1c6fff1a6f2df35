package io.hickorydrift.proxy.cli;

import java.io.PrintStream;
import java.util.List;

/** One subcommand of the command line. Implementations are used once, by one thread. */
interface Command {
  /** Returns the name on the command line. */
  String name();

  /** Returns what it does in one line. */
  String summary();

  /** Runs with the arguments after the name; returns the exit code. */
  int run(List<String> arguments, PrintStream out) throws Exception;
}
