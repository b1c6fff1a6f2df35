package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.config.SettingsProblem;
import io.hickorydrift.core.config.SettingsReader;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.InstanceSettingsReader;
import io.hickorydrift.proxy.settings.SettingsException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import joptsimple.OptionSet;

/** Validates settings files without starting or changing anything. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check an instance's settings, or declarations as TEAM=FILE";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) {
    Options options = new Options("check --settings FILE | check TEAM=FILE ...");
    options.parser().accepts("settings", "An instance's settings").withRequiredArg();
    options.parser().nonOptions("Declarations as TEAM=FILE, checked together");
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    if (parsed.has("settings")) {
      InstanceSettingsReader.read(Path.of((String) parsed.valueOf("settings")));
    } else if (parsed.nonOptionArguments().isEmpty()) {
      throw new UsageException("--settings or TEAM=FILE is missing");
    } else {
      checkDeclarations(parsed.nonOptionArguments());
    }
    out.println("ok");
    return ExitCode.OK;
  }

  private static void checkDeclarations(List<?> declarations) {
    SettingsReader reader = new SettingsReader();
    SortedMap<String, Team> teams = new TreeMap<>();
    for (Object declaration : declarations) {
      String[] parts = declaration.toString().split("=", 2);
      if (parts.length < 2) {
        throw new UsageException("expected TEAM=FILE, got " + declaration);
      }
      Team team = new Team(0, IniFile.read(Path.of(parts[1])));
      reader.checkKinds(parts[0], team.sections());
      teams.put(parts[0], team);
    }
    reader.read(0, teams);
    if (!reader.problems().isEmpty()) {
      List<String> problems = new ArrayList<>();
      for (SettingsProblem problem : reader.problems()) {
        problems.add(problem.toString());
      }
      throw new SettingsException(problems);
    }
  }
}
