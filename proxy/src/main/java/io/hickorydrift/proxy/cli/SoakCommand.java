package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.port.SoakRunner;
import java.io.PrintStream;
import java.util.List;
import java.util.ServiceLoader;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs gateways as child processes under faults, and checks the results that callers receive. */
final class SoakCommand implements Command {
  private static final double SECONDS_PER_MINUTE = 60;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "run gateway processes under random faults and check the guarantees";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    Options options =
        new Options(
            "soak [--seed N] [--minutes M] [--instances K] [--plant CHECK] [--restore-store]"
                + " [--evacuate]");
    options.parser().accepts("evacuate", "Also evacuate failure domains");
    OptionSpec<Long> seed =
        options
            .parser()
            .accepts("seed", "Random seed of faults and load")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    OptionSpec<Double> minutes =
        options
            .parser()
            .accepts("minutes", "Duration of fault injection, in minutes")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(0.5);
    OptionSpec<Integer> instances =
        options
            .parser()
            .accepts("instances", "Number of gateway processes")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(3);
    OptionSpec<String> plant =
        options
            .parser()
            .accepts("plant", "Check to violate deliberately")
            .withRequiredArg()
            .defaultsTo("");
    options
        .parser()
        .accepts("restore-store", "Also let the store return from an older copy of its data");
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    SoakRunner soak =
        ServiceLoader.load(SoakRunner.class)
            .findFirst()
            .orElseThrow(() -> new UsageException("no soak runner in this binary"));
    int violations =
        soak.run(
            new SoakRunner.Options(
                parsed.valueOf(seed),
                (long) (parsed.valueOf(minutes) * SECONDS_PER_MINUTE),
                parsed.valueOf(instances),
                parsed.valueOf(plant),
                parsed.has("restore-store"),
                parsed.has("evacuate")),
            out);
    return violations == 0 ? ExitCode.OK : ExitCode.FAILED;
  }
}
