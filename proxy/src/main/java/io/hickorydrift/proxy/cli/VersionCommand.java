package io.hickorydrift.proxy.cli;

import java.io.PrintStream;
import java.util.List;

/** Prints the version. */
final class VersionCommand implements Command {
  private static final String VERSION = "0.1.0";

  @Override
  public String name() {
    return "version";
  }

  @Override
  public String summary() {
    return "print the version";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) {
    if (new Options("version").parse(arguments, out) != null) {
      out.println("hickorydrift " + VERSION);
    }
    return ExitCode.OK;
  }
}
