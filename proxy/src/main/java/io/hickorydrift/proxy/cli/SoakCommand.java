package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.port.SoakRunner;
import java.io.PrintStream;
import java.util.List;
import java.util.ServiceLoader;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs gateways as processes of their own under faults and checks what callers see. */
final class SoakCommand implements Command {
  private static final double SECONDS_A_MINUTE = 60;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "run gateway processes under random faults and check the promises";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    Options options = new Options("soak [--seed N] [--minutes M] [--instances K] [--plant CHECK]");
    OptionSpec<Long> seed =
        options
            .parser()
            .accepts("seed", "Seed of faults and load")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    OptionSpec<Double> minutes =
        options
            .parser()
            .accepts("minutes", "Time with faults, in minutes")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(0.5);
    OptionSpec<Integer> instances =
        options
            .parser()
            .accepts("instances", "Gateway processes")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(3);
    OptionSpec<String> plant =
        options
            .parser()
            .accepts("plant", "Check to break on purpose")
            .withRequiredArg()
            .defaultsTo("");
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    SoakRunner soak =
        ServiceLoader.load(SoakRunner.class)
            .findFirst()
            .orElseThrow(() -> new UsageException("no soak in this binary"));
    int violations =
        soak.run(
            parsed.valueOf(seed),
            (long) (parsed.valueOf(minutes) * SECONDS_A_MINUTE),
            parsed.valueOf(instances),
            parsed.valueOf(plant),
            out);
    return violations == 0 ? ExitCode.OK : ExitCode.FAILED;
  }
}
