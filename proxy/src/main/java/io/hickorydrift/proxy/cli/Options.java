package io.hickorydrift.proxy.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Parser of a command's options, with {@code --help} for each command.
 *
 * <p>Thread safety: confined to one thread.
 */
final class Options {
  private final String usage;
  private final OptionParser parser = new OptionParser();

  Options(String usage) {
    this.usage = usage;
    parser.accepts("help", "Show this help").forHelp();
  }

  OptionParser parser() {
    return parser;
  }

  /** Returns the parsed options, or null if {@code --help} was given and help was printed. */
  OptionSet parse(List<String> arguments, PrintStream out) {
    try {
      OptionSet options = parser.parse(arguments.toArray(new String[0]));
      if (options.has("help")) {
        out.println("usage: hickorydrift " + usage);
        parser.printHelpOn(out);
        return null;
      }
      return options;
    } catch (OptionException e) {
      throw new UsageException(e.getMessage() + "\nusage: hickorydrift " + usage);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
