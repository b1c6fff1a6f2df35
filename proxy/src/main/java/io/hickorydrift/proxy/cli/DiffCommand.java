package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.config.SettingsDiff;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.settings.IniFile;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** Prints the changes that applying a declaration would make. */
final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String summary() {
    return "print the changes that applying a declaration would make";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    TeamOptions options = TeamOptions.parse("diff", true, arguments, out);
    if (options != null) {
      List<SectionChange> changes =
          SettingsDiff.between(
              options.client().subtree(options.team()).sections(), IniFile.read(options.file()));
      print(changes, out);
    }
    return ExitCode.OK;
  }

  /** Prints one line per change and a line with their number. */
  static void print(List<SectionChange> changes, PrintStream out) {
    for (SectionChange change : changes) {
      String values = change.values() == null ? "removed" : change.values().toString();
      out.println("[" + change.section() + "] " + values);
    }
    out.println(changes.size() + " sections differ");
  }
}
