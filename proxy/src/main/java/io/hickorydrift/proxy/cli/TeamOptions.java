package io.hickorydrift.proxy.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSet;

/**
 * Options shared by the commands on a team's subtree.
 *
 * @param client client with the team's credential
 * @param team team that owns the subtree
 * @param file declaration file, or null if the command takes none
 */
record TeamOptions(OperatorClient client, String team, Path file) {
  /** Returns the parsed options, or null if help was printed. */
  static TeamOptions parse(
      String command, boolean takesFile, List<String> arguments, PrintStream out)
      throws IOException {
    Options options =
        new Options(
            command
                + " --operator ADDRESS --team TEAM --credential-file FILE"
                + (takesFile ? " DECLARATION" : ""));
    options.parser().accepts("operator", "Operators' address of an instance").withRequiredArg();
    options.parser().accepts("team", "Team that owns the subtree").withRequiredArg();
    options.parser().accepts("credential-file", "File with the credential").withRequiredArg();
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return null;
    }
    for (String required : List.of("operator", "team", "credential-file")) {
      if (!parsed.has(required)) {
        throw new UsageException("--" + required + " is missing");
      }
    }
    if (takesFile != (parsed.nonOptionArguments().size() == 1)) {
      throw new UsageException(
          takesFile ? "exactly one declaration file is required" : "unexpected argument");
    }
    String credential = Files.readString(Path.of((String) parsed.valueOf("credential-file")));
    OperatorClient client =
        new OperatorClient((String) parsed.valueOf("operator"), credential.trim());
    Path file = takesFile ? Path.of(parsed.nonOptionArguments().get(0).toString()) : null;
    return new TeamOptions(client, (String) parsed.valueOf("team"), file);
  }
}
