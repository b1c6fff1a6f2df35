package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.bench.CapacityExperiment;
import io.hickorydrift.proxy.bench.Experiment;
import io.hickorydrift.proxy.bench.FailoverExperiment;
import io.hickorydrift.proxy.bench.FairnessExperiment;
import io.hickorydrift.proxy.bench.HomesExperiment;
import io.hickorydrift.proxy.bench.LatencyExperiment;
import io.hickorydrift.proxy.bench.LimitsExperiment;
import io.hickorydrift.proxy.bench.ReplicaReadsExperiment;
import io.hickorydrift.proxy.bench.SettingsExperiment;
import io.hickorydrift.proxy.bench.StartExperiment;
import io.hickorydrift.proxy.bench.load.LoadExperiment;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionSet;

/** Runs a measurement on stand-ins and prints its tables. */
final class MeasureCommand implements Command {
  private static final List<Experiment> EXPERIMENTS =
      List.of(
          new LatencyExperiment(),
          new ReplicaReadsExperiment(),
          new FailoverExperiment(),
          new LimitsExperiment(),
          new FairnessExperiment(),
          new HomesExperiment(),
          new SettingsExperiment(),
          new StartExperiment(),
          new LoadExperiment(),
          new CapacityExperiment());

  @Override
  public String name() {
    return "measure";
  }

  @Override
  public String summary() {
    return "run a measurement on loopback stand-ins and print its tables";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    StringBuilder usage = new StringBuilder("measure NAME, with NAME one of:");
    for (Experiment experiment : EXPERIMENTS) {
      usage.append("\n  ").append(experiment.name()).append(": ").append(experiment.summary());
    }
    OptionSet parsed = new Options(usage.toString()).parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    for (Experiment experiment : EXPERIMENTS) {
      if (parsed.nonOptionArguments().contains(experiment.name())) {
        experiment.run(out);
        return ExitCode.OK;
      }
    }
    throw new UsageException("unknown measurement\nusage: hickorydrift " + usage);
  }
}
