package io.hickorydrift.proxy.bench;

import io.hickorydrift.proxy.bench.CapacitySamples.Sample;
import java.io.PrintStream;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Extrapolates the cost of the control plane on an instance to the target size, from measured
 * slopes.
 *
 * <p>Thread safety: confined to one thread.
 */
final class CapacityTable {
  private static final double MEMBER_LINKS = (double) TargetSize.INSTANCES / TargetSize.DOMAINS - 1;
  private static final double RELAY_LINKS = MEMBER_LINKS + 2 * (TargetSize.DOMAINS - 1);
  private static final double GROUPS_PER_INSTANCE =
      (double) TargetSize.GROUPS * TargetSize.HOMES_PER_GROUP / TargetSize.INSTANCES;
  private static final double BYTES_PER_SECOND_LIMIT = TargetSize.BYTES_PER_SECOND_LIMIT;
  private static final double CPU_LIMIT_PERCENT = 100 * TargetSize.CPU_LIMIT_CORES;
  private static final double MEMORY_LIMIT_MB = TargetSize.MEMORY_LIMIT_MB;
  private static final double STORE_CALLS_PER_SECOND_LIMIT = 2_000;
  private static final double MS_PER_SECOND = 1_000;

  private final CapacitySamples samples;

  CapacityTable(CapacitySamples samples) {
    this.samples = samples;
  }

  void print(PrintStream out) {
    out.println();
    out.println("| cost | measured slope | at the target size | limit | within limit |");
    out.println("|---|---|---|---|---|");
    membershipCosts(out);
    homeCosts(out);
    storeCalls(out);
    settingsCosts(out);
    totals(out);
  }

  /** Prints totals, since the limits apply to all of the control plane on an instance together. */
  private void totals(PrintStream out) {
    double changes = TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
    double bytesPerLink = slope(samples.byInstances, Sample::links, Sample::bytesPerSecond);
    double groupBytes =
        slope(samples.byGroups, Sample::groups, Sample::exchangesPerSecond)
            * samples.exchangeBytes
            * GROUPS_PER_INSTANCE;
    double entriesBytes = changes * samples.settings.entryBytes() * MEMBER_LINKS;
    String included = "links and homes";
    row(
        out,
        "**member, total, bytes/s**",
        included,
        bytesPerLink * MEMBER_LINKS + groupBytes,
        BYTES_PER_SECOND_LIMIT);
    included = "links, homes and entries";
    double relayBytes = bytesPerLink * RELAY_LINKS + groupBytes + entriesBytes;
    row(out, "**relay, total, bytes/s**", included, relayBytes, BYTES_PER_SECOND_LIMIT);
    double baseCpu = average(samples.byInstances, Sample::cpuIndependentOfLinks);
    double cpuPerLink = slope(samples.byInstances, Sample::links, Sample::cpuGrowingWithLinks);
    double homeCpu = slope(samples.byGroups, Sample::groups, Sample::homeCpu) * GROUPS_PER_INSTANCE;
    double settingsCpu = samples.settings.readMs() / MS_PER_SECOND * changes;
    double cpu = 100 * (baseCpu + cpuPerLink * MEMBER_LINKS + homeCpu + settingsCpu);
    included = "workers, links, homes and changes";
    row(out, "**member, total, % of a core**", included, cpu, CPU_LIMIT_PERCENT);
    cpu += 100 * cpuPerLink * (RELAY_LINKS - MEMBER_LINKS);
    row(out, "**relay, total, % of a core**", included, cpu, CPU_LIMIT_PERCENT);
  }

  private void membershipCosts(PrintStream out) {
    double bytes = slope(samples.byInstances, Sample::links, Sample::bytesPerSecond);
    String slope = "%.1f bytes/s per link".formatted(bytes);
    row(
        out,
        "member, heartbeats to its domain, bytes/s",
        slope,
        bytes * MEMBER_LINKS,
        BYTES_PER_SECOND_LIMIT);
    row(
        out,
        "relay, also to other relays, bytes/s",
        slope,
        bytes * RELAY_LINKS,
        BYTES_PER_SECOND_LIMIT);
    double cpu = 100 * slope(samples.byInstances, Sample::links, Sample::cpuGrowingWithLinks);
    double base = 100 * average(samples.byInstances, Sample::cpuIndependentOfLinks);
    slope = "%.2f%% and %.4f%% per link".formatted(base, cpu);
    row(
        out,
        "member, all workers idle, % of a core",
        slope,
        base + cpu * MEMBER_LINKS,
        CPU_LIMIT_PERCENT);
    row(
        out,
        "relay, all workers idle, % of a core",
        slope,
        base + cpu * RELAY_LINKS,
        CPU_LIMIT_PERCENT);
  }

  private void homeCosts(PrintStream out) {
    double cpu = 100 * slope(samples.byGroups, Sample::groups, Sample::homeCpu);
    String prefix = "home and observer of %.0f idle groups, ".formatted(GROUPS_PER_INSTANCE);
    String slope = "%.4f%% per group".formatted(cpu);
    row(out, prefix + "% of a core", slope, cpu * GROUPS_PER_INSTANCE, CPU_LIMIT_PERCENT);
    double exchanges = slope(samples.byGroups, Sample::groups, Sample::exchangesPerSecond);
    slope =
        "%.2f exchanges/s per group, %.0f bytes each".formatted(exchanges, samples.exchangeBytes);
    double bytes = exchanges * samples.exchangeBytes * GROUPS_PER_INSTANCE;
    row(out, prefix + "bytes/s", slope, bytes, BYTES_PER_SECOND_LIMIT);
  }

  private void storeCalls(PrintStream out) {
    double relay = slope(samples.byInstances, Sample::relayFraction, Sample::storeCallsPerSecond);
    double member =
        average(samples.byInstances, Sample::storeCallsPerSecond)
            - relay * average(samples.byInstances, Sample::relayFraction);
    String slope = "%.2f per instance, %.2f more per relay".formatted(member, relay);
    double fleetCalls = member * TargetSize.INSTANCES + relay * 2 * TargetSize.DOMAINS;
    row(
        out,
        "store, reads and writes of the fleet, calls/s",
        slope,
        fleetCalls,
        STORE_CALLS_PER_SECOND_LIMIT);
  }

  private void settingsCosts(PrintStream out) {
    double changes = TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
    int entryBytes = samples.settings.entryBytes();
    String slope = "%d bytes per entry".formatted(entryBytes);
    double entriesPerLink = changes * entryBytes;
    row(
        out,
        "relay, entries to its domain, bytes/s",
        slope,
        entriesPerLink * MEMBER_LINKS,
        BYTES_PER_SECOND_LIMIT);
    double megabytes = samples.settings.megabytes();
    row(out, "all settings in memory, MB", "at full size", megabytes, MEMORY_LIMIT_MB);
    double readMs = samples.settings.readMs();
    slope = "%.1f ms per change".formatted(readMs);
    double cpu = 100 * readMs / MS_PER_SECOND * changes;
    row(out, "reading changes of a team's settings, % of a core", slope, cpu, CPU_LIMIT_PERCENT);
  }

  private static void row(PrintStream out, String cost, String slope, double value, double limit) {
    boolean limited = !Double.isNaN(limit);
    String withinLimit = !limited ? "none stated" : value <= limit ? "yes" : "**no**";
    String limitText = limited ? "%.1f".formatted(limit) : "-";
    out.printf("| %s | %s | %.1f | %s | %s |%n", cost, slope, value, limitText, withinLimit);
  }

  private static double average(List<Sample> samples, ToDoubleFunction<Sample> value) {
    return samples.stream().mapToDouble(value).average().orElse(0);
  }

  /** Returns the slope of the least-squares line of {@code y} over {@code x}. */
  private static double slope(
      List<Sample> samples, ToDoubleFunction<Sample> x, ToDoubleFunction<Sample> y) {
    double meanX = average(samples, x);
    double meanY = average(samples, y);
    double covariance = 0;
    double variance = 0;
    for (Sample sample : samples) {
      double dx = x.applyAsDouble(sample) - meanX;
      covariance += dx * (y.applyAsDouble(sample) - meanY);
      variance += dx * dx;
    }
    return covariance / variance;
  }
}
