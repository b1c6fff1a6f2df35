package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.config.SettingsDiff;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.settings.IniFile;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** Shows what applying a declaration would change. */
final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String summary() {
    return "show what a declaration would change";
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

  /** Prints changes, a line each. */
  static void print(List<SectionChange> changes, PrintStream out) {
    for (SectionChange change : changes) {
      String values = change.values() == null ? "removed" : change.values().toString();
      out.println("[" + change.section() + "] " + values);
    }
    out.println(changes.size() + " sections differ");
  }
}
