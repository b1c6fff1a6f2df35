package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.proxy.settings.SettingsException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Entry point of the command line.
 *
 * <p>Thread safety: stateless.
 */
public final class Main {
  // Commands that run an instance, which handles signals.
  private static final Set<String> INSTANCE_COMMANDS = Set.of("serve", "gateway");

  private Main() {}

  private static List<Command> commands() {
    return List.of(
        new ServeCommand(),
        new GatewayCommand(),
        new CheckCommand(),
        new DiffCommand(),
        new ApplyCommand(),
        new ExportCommand(),
        new StatusCommand(),
        new EvacuateCommand(),
        new KeysCommand(),
        new DemoCommand(),
        new MeasureCommand(),
        new StandinCommand(),
        new SoakCommand(),
        new WhyCommand(),
        new VersionCommand());
  }

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) {
    if (arguments.length > 0 && INSTANCE_COMMANDS.contains(arguments[0])) {
      // First of all, since a signal without a handler ends the process.
      ProcessSignals.install();
    }
    LogOutput logOutput = LogOutput.install();
    ExitLog exitLog = ExitLog.install(logOutput);
    int code;
    try {
      code = run(Arrays.asList(arguments), System.out, System.err);
    } catch (Error e) {
      exitLog.recordError(e);
      throw e;
    }
    exitLog.recordCompletion(code);
    logOutput.drain();
    System.exit(code);
  }

  /** Runs the command line and returns its exit code. */
  public static int run(List<String> arguments, PrintStream out, PrintStream err) {
    if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
      help(arguments.isEmpty() ? err : out);
      return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
    }
    for (Command command : commands()) {
      if (command.name().equals(arguments.get(0))) {
        return run(command, arguments.subList(1, arguments.size()), out, err);
      }
    }
    err.println("hickorydrift: unknown command " + arguments.get(0));
    help(err);
    return ExitCode.USAGE;
  }

  private static int run(
      Command command, List<String> arguments, PrintStream out, PrintStream err) {
    try {
      return command.run(arguments, out);
    } catch (UsageException | SettingsException e) {
      err.println("hickorydrift " + command.name() + ": " + e.getMessage());
      return ExitCode.USAGE;
    } catch (ProxyException e) {
      err.println(
          "hickorydrift " + command.name() + ": code " + e.code().number() + " " + e.getMessage());
      return exitCode(e.code());
    } catch (Exception e) {
      err.println("hickorydrift " + command.name() + ": " + e);
      return ExitCode.FAILED;
    }
  }

  private static int exitCode(ResultCode code) {
    switch (code) {
      case SETTINGS_CONFLICT:
        return ExitCode.CONFLICT;
      case SETTINGS_UNKNOWN:
        return ExitCode.UNKNOWN;
      case BAD_SETTINGS:
        return ExitCode.USAGE;
      default:
        return ExitCode.FAILED;
    }
  }

  private static void help(PrintStream out) {
    out.println("usage: hickorydrift COMMAND [OPTIONS]; COMMAND --help shows its options");
    for (Command command : commands()) {
      out.printf("  %-9s %s%n", command.name(), command.summary());
    }
    out.println("exit codes: 0 success, 1 failed, 2 usage or settings, 3 conflict, 4 unknown");
  }
}
