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
  private static final double NEAR = (double) TargetSize.INSTANCES / TargetSize.DOMAINS - 1;
  private static final double RELAY = NEAR + 2 * (TargetSize.DOMAINS - 1);
  private static final double HOME_GROUPS =
      (double) TargetSize.GROUPS * TargetSize.HOMES_PER_GROUP / TargetSize.INSTANCES;
  private static final double BYTES_LIMIT = TargetSize.BYTES_PER_SECOND_LIMIT;
  private static final double CPU_LIMIT = 100 * TargetSize.CPU_LIMIT_CORES;
  private static final double MEMORY_LIMIT = TargetSize.MEMORY_LIMIT_MB;
  private static final double STORE_LIMIT = 2_000;
  private static final double MS_PER_SECOND = 1_000;

  private final CapacitySamples samples;

  CapacityTable(CapacitySamples samples) {
    this.samples = samples;
  }

  void print(PrintStream out) {
    out.println();
    out.println("| role | slope measured | at the target size | limit | holds |");
    out.println("|---|---|---|---|---|");
    membership(out);
    homes(out);
    store(out);
    settings(out);
    sums(out);
  }

  /** The limits are for all of control on a node, so the sums are what counts. */
  private void sums(PrintStream out) {
    double changes = TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
    double linkBytes = slope(samples.byInstances, Sample::links, Sample::bytesPerSecond);
    double groupBytes =
        slope(samples.byGroups, Sample::groups, Sample::exchangesPerSecond)
            * samples.exchangeBytes
            * HOME_GROUPS;
    double entries = changes * samples.settings.entryBytes() * NEAR;
    String parts = "links and homes";
    row(out, "**member in sum, bytes/s**", parts, linkBytes * NEAR + groupBytes, BYTES_LIMIT);
    parts = "links, homes and entries";
    double relayBytes = linkBytes * RELAY + groupBytes + entries;
    row(out, "**relay in sum, bytes/s**", parts, relayBytes, BYTES_LIMIT);
    double base = average(samples.byInstances, Sample::cpuIndependentOfLinks);
    double link = slope(samples.byInstances, Sample::links, Sample::cpuGrowingWithLinks);
    double home = slope(samples.byGroups, Sample::groups, Sample::homeCpu) * HOME_GROUPS;
    double settings = samples.settings.readMs() / MS_PER_SECOND * changes;
    double cpu = 100 * (base + link * NEAR + home + settings);
    parts = "duties, links, homes and changes";
    row(out, "**member in sum, % of a core**", parts, cpu, CPU_LIMIT);
    cpu += 100 * link * (RELAY - NEAR);
    row(out, "**relay in sum, % of a core**", parts, cpu, CPU_LIMIT);
  }

  private void membership(PrintStream out) {
    double bytes = slope(samples.byInstances, Sample::links, Sample::bytesPerSecond);
    String slope = "%.1f bytes/s a link".formatted(bytes);
    row(out, "member, heartbeats to its domain, bytes/s", slope, bytes * NEAR, BYTES_LIMIT);
    row(out, "relay, also to other relays, bytes/s", slope, bytes * RELAY, BYTES_LIMIT);
    double cpu = 100 * slope(samples.byInstances, Sample::links, Sample::cpuGrowingWithLinks);
    double base = 100 * average(samples.byInstances, Sample::cpuIndependentOfLinks);
    slope = "%.2f%% and %.4f%% a link".formatted(base, cpu);
    row(out, "member, all duties idle, % of a core", slope, base + cpu * NEAR, CPU_LIMIT);
    row(out, "relay, all duties idle, % of a core", slope, base + cpu * RELAY, CPU_LIMIT);
  }

  private void homes(PrintStream out) {
    double cpu = 100 * slope(samples.byGroups, Sample::groups, Sample::homeCpu);
    String role = "home and observer of %.0f idle groups, ".formatted(HOME_GROUPS);
    String slope = "%.4f%% a group".formatted(cpu);
    row(out, role + "% of a core", slope, cpu * HOME_GROUPS, CPU_LIMIT);
    double exchanges = slope(samples.byGroups, Sample::groups, Sample::exchangesPerSecond);
    slope = "%.2f exchanges/s a group, %.0f bytes".formatted(exchanges, samples.exchangeBytes);
    double bytes = exchanges * samples.exchangeBytes * HOME_GROUPS;
    row(out, role + "bytes/s", slope, bytes, BYTES_LIMIT);
  }

  private void store(PrintStream out) {
    double relay = slope(samples.byInstances, Sample::relayFraction, Sample::storeCallsPerSecond);
    double member =
        average(samples.byInstances, Sample::storeCallsPerSecond)
            - relay * average(samples.byInstances, Sample::relayFraction);
    String slope = "%.2f an instance, %.2f more a relay".formatted(member, relay);
    double fleet = member * TargetSize.INSTANCES + relay * 2 * TargetSize.DOMAINS;
    row(out, "store, reads and writes of the fleet, calls/s", slope, fleet, STORE_LIMIT);
  }

  private void settings(PrintStream out) {
    double changes = TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
    int entryBytes = samples.settings.entryBytes();
    String slope = "%d bytes an entry".formatted(entryBytes);
    double relayed = changes * entryBytes;
    row(out, "relay, entries to its domain, bytes/s", slope, relayed * NEAR, BYTES_LIMIT);
    double megabytes = samples.settings.megabytes();
    row(out, "all settings in memory, MB", "at full size", megabytes, MEMORY_LIMIT);
    double readMs = samples.settings.readMs();
    slope = "%.1f ms a change".formatted(readMs);
    double cpu = 100 * readMs / MS_PER_SECOND * changes;
    row(out, "taking in a team's changes of settings, % of a core", slope, cpu, CPU_LIMIT);
  }

  private static void row(PrintStream out, String role, String slope, double value, double limit) {
    boolean limited = !Double.isNaN(limit);
    String holds = !limited ? "none stated" : value <= limit ? "yes" : "**no**";
    String shown = limited ? "%.1f".formatted(limit) : "-";
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
