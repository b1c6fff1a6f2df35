package io.hickorydrift.proxy.bench;

import io.hickorydrift.proxy.bench.CapacitySamples.Sample;
import java.io.PrintStream;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Works out from measured slopes what control costs a node at the target size.
 *
 * <p>Thread safety: confined to one thread.
 */
final class CapacityTable {
  private final CapacitySamples samples;

  CapacityTable(CapacitySamples samples) {
    this.samples = samples;
  }

  void print(PrintStream out) {
    double homeGroups =
        (double) TargetSize.GROUPS * TargetSize.HOMES_PER_GROUP / TargetSize.INSTANCES;
    double peers = TargetSize.INSTANCES - 1;
    double domainPeers = (double) TargetSize.INSTANCES / TargetSize.DOMAINS - 1;
    double changes = TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
    double bytesPerPeer = slope(samples.byInstances, this::peersOf, Sample::bytesPerSecond);
    double cpuPerPeer = slope(samples.byInstances, this::peersOf, Sample::cpu);
    double storePerInstance = average(samples.byInstances, Sample::storeCallsPerSecond);
    double homePerGroup = slope(samples.byGroups, sample -> sample.groups(), Sample::homeCpu);
    double exchangesPerGroup =
        slope(samples.byGroups, sample -> sample.groups(), Sample::exchangesPerSecond);
    double relayBytes = changes * samples.settings.entryBytes();

    out.println();
    out.println("| role | slope measured | at the target size | limit | holds |");
    out.println("|---|---|---|---|---|");
    row(
        out,
        "membership, heartbeats to all peers (as built): bytes/s",
        "%.1f bytes/s a peer".formatted(bytesPerPeer),
        bytesPerPeer * peers,
        TargetSize.BYTES_LIMIT,
        "");
    row(
        out,
        "membership within the failure domain (not built): bytes/s",
        "the same slope, %.0f peers".formatted(domainPeers),
        bytesPerPeer * domainPeers,
        TargetSize.BYTES_LIMIT,
        "");
    row(
        out,
        "peer links and control, all peers (as built): % of a core",
        "%.4f%% a peer".formatted(100 * cpuPerPeer),
        100 * cpuPerPeer * peers,
        100 * TargetSize.CPU_LIMIT,
        "");
    row(
        out,
        "peer links and control within the domain (not built): % of a core",
        "the same slope",
        100 * cpuPerPeer * domainPeers,
        100 * TargetSize.CPU_LIMIT,
        "");
    row(
        out,
        "home and observer, %.0f groups a node: %% of a core".formatted(homeGroups),
        "%.4f%% a group".formatted(100 * homePerGroup),
        100 * homePerGroup * homeGroups,
        100 * TargetSize.CPU_LIMIT,
        "");
    row(
        out,
        "observer's probes of idle groups: exchanges/s",
        "%.2f a group".formatted(exchangesPerGroup),
        exchangesPerGroup * homeGroups,
        Double.NaN,
        "no limit stated");
    row(
        out,
        "store, each instance for itself (as built): calls/s of the fleet",
        "%.2f an instance".formatted(storePerInstance),
        storePerInstance * TargetSize.INSTANCES,
        2_000,
        "");
    row(
        out,
        "settings relay, each entry to each peer of the domain: bytes/s",
        "%d bytes an entry".formatted(samples.settings.entryBytes()),
        relayBytes * domainPeers,
        TargetSize.BYTES_LIMIT,
        "");
    row(
        out,
        "settings in memory, whole: MB",
        "measured at the size",
        samples.settings.megabytes(),
        TargetSize.MEMORY_LIMIT_MB,
        "");
    row(
        out,
        "settings read anew at each change (as built): % of a core",
        "%.0f ms a change".formatted(samples.settings.readMs()),
        100 * samples.settings.readMs() / 1_000 * changes,
        100 * TargetSize.CPU_LIMIT,
        "");
  }

  private double peersOf(Sample sample) {
    return sample.instances() - 1;
  }

  private static void row(
      PrintStream out, String role, String slope, double value, double limit, String note) {
    String holds = Double.isNaN(limit) ? note : value <= limit ? "yes" : "**no**";
    String shown = Double.isNaN(limit) ? "-" : "%.1f".formatted(limit);
    out.printf("| %s | %s | %.1f | %s | %s |%n", role, slope, value, shown, holds);
  }

  private static double average(List<Sample> samples, ToDoubleFunction<Sample> value) {
    return samples.stream().mapToDouble(value).average().orElse(0);
  }

  /** Returns the slope of the least-squares line. */
  private static double slope(
      List<Sample> samples, ToDoubleFunction<Sample> x, ToDoubleFunction<Sample> y) {
    double meanX = average(samples, x);
    double meanY = average(samples, y);
    double above = 0;
    double below = 0;
    for (Sample sample : samples) {
      double dx = x.applyAsDouble(sample) - meanX;
      above += dx * (y.applyAsDouble(sample) - meanY);
      below += dx * dx;
    }
    return above / below;
  }
}
