package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.config.SettingsDiff;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.intake.OperatorHandler.Accepted;
import io.hickorydrift.proxy.intake.OperatorHandler.Change;
import io.hickorydrift.proxy.intake.OperatorHandler.Subtree;
import io.hickorydrift.proxy.settings.IniFile;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.UUID;

/** Changes a team's subtree to match a declaration. Idempotent. */
final class ApplyCommand implements Command {
  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "change a team's settings to match a declaration";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    TeamOptions options = TeamOptions.parse("apply", true, arguments, out);
    if (options == null) {
      return ExitCode.OK;
    }
    Subtree current = options.client().subtree(options.team());
    List<SectionChange> changes =
        SettingsDiff.between(current.sections(), IniFile.read(options.file()));
    DiffCommand.print(changes, out);
    if (changes.isEmpty()) {
      return ExitCode.OK;
    }
    Change change = new Change(current.revision(), UUID.randomUUID().toString(), changes);
    Accepted accepted = options.client().submitChange(options.team(), change);
    out.println("accepted as entry " + accepted.entry());
    return ExitCode.OK;
  }
}
