package io.hickorydrift.proxy.cli;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the command line. Each object is used once, by one thread. */
interface Command {
  /** Returns the name of the subcommand. */
  String name();

  /** Returns a one-line description for the help text. */
  String summary();

  /** Runs with the arguments that follow the name, and returns the exit code. */
  int run(List<String> arguments, PrintStream out) throws Exception;
}
