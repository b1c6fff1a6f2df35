package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.diagnosis.FailureSummary;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSet;

/** Groups the failed and refused requests in log files by cause. */
final class WhyCommand implements Command {
  @Override
  public String name() {
    return "why";
  }

  @Override
  public String summary() {
    return "group the failed and refused requests in log files by cause";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    OptionSet parsed = new Options("why LOG...").parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    if (parsed.nonOptionArguments().isEmpty()) {
      throw new UsageException("no log file\nusage: hickorydrift why LOG...");
    }
    FailureSummary summary = new FailureSummary();
    for (Object file : parsed.nonOptionArguments()) {
      // Logs may hold bytes of callers' statements in any encoding.
      try (BufferedReader lines =
          Files.newBufferedReader(Path.of(file.toString()), StandardCharsets.ISO_8859_1)) {
        lines.lines().forEach(summary::add);
      }
    }
    summary.print(out);
    return ExitCode.OK;
  }
}
