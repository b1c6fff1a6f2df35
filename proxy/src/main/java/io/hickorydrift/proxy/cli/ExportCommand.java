package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.settings.IniFile;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** Prints a team's subtree as a declaration. */
final class ExportCommand implements Command {
  @Override
  public String name() {
    return "export";
  }

  @Override
  public String summary() {
    return "print a team's settings as a declaration";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    TeamOptions options = TeamOptions.parse("export", false, arguments, out);
    if (options != null) {
      out.print(IniFile.format(options.client().subtree(options.team()).sections()));
    }
    return ExitCode.OK;
  }
}
