package io.hickorydrift.proxy.bench;

import java.io.PrintStream;

/**
 * Measures how memory, messages and processor time of the control plane grow, and extrapolates them
 * to the target size.
 */
public final class CapacityExperiment implements Experiment {
  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "cost of the control plane by instances and groups, extrapolated to the target size";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    CapacitySamples samples = CapacitySamples.collect(out);
    new CapacityTable(samples).print(out);
  }
}
