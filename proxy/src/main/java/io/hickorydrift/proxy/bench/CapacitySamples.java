package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.SettingsReader;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.Instance;
import io.hickorydrift.proxy.peer.MessagePackCodec;
import io.hickorydrift.proxy.runtime.Json;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Cost of the control plane on idle fleets of several sizes, and of settings of the target size.
 *
 * <p>Thread safety: immutable after {@link #collect}.
 */
final class CapacitySamples {
  /** Average cost for an instance of an idle fleet, with processor times as fractions of a core. */
  record Sample(
      int instances,
      int groups,
      double links,
      double messagesPerSecond,
      double bytesPerSecond,
      double storeCallsPerSecond,
      double exchangesPerSecond,
      double controlCpu,
      double homeCpu,
      double allowanceCpu,
      double peerCpu) {
    /** Returns the fraction of the instances that are relays. */
    double relayFraction() {
      return Math.min(1, (double) RELAYS / instances);
    }

    /** Returns the processor time that grows with the number of links. */
    double cpuGrowingWithLinks() {
      return controlCpu + peerCpu;
    }

    /** Returns the processor time of the workers that do not depend on links. */
    double cpuIndependentOfLinks() {
      return homeCpu + allowanceCpu;
    }
  }

  /** Memory, time to read a change and size of an entry for settings of the target size. */
  record SettingsCost(double megabytes, double readMs, int entryBytes) {}

  private static final int[] FLEET_SIZES = {2, 4, 7, 14, 28};
  private static final int[] GROUP_COUNTS = {1, 8, 24};
  private static final int GROUP_SAMPLE_INSTANCES = 3;

  /** Relays in a plan's three failure domains, two in each. */
  private static final int RELAYS = 6;

  private static final long SETTLE_MS = 5_000;
  private static final long MEASURE_MS = 8_000;
  private static final int SETTINGS_READS = 20;
  private static final String CHANGED_TEAM = "team-1";

  final List<Sample> byInstances = new ArrayList<>();
  final List<Sample> byGroups = new ArrayList<>();
  SettingsCost settings;
  double exchangeBytes;

  private CapacitySamples() {}

  /** Takes all samples and prints each as soon as it is measured. */
  static CapacitySamples collect(PrintStream out) throws InterruptedException {
    CapacitySamples samples = new CapacitySamples();
    out.println(
        String.join(
            " | ",
            "| instances",
            "groups",
            "links",
            "peer messages/s",
            "peer bytes/s",
            "store calls/s",
            "target exchanges/s",
            "control, % of a core",
            "home, %",
            "allowance, %",
            "peer links, % |"));
    out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    for (int size : FLEET_SIZES) {
      Sample sample = measure(size, 1);
      samples.byInstances.add(sample);
      printRow(out, sample);
    }
    for (int groups : GROUP_COUNTS) {
      Sample sample = measure(GROUP_SAMPLE_INSTANCES, groups);
      samples.byGroups.add(sample);
      printRow(out, sample);
    }
    samples.exchangeBytes = averageExchangeBytes();
    samples.settings = measureSettings();
    return samples;
  }

  private static void printRow(PrintStream out, Sample sample) {
    out.printf(
        "| %d | %d | %.1f | %.1f | %.0f | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f |%n",
        sample.instances,
        sample.groups,
        sample.links,
        sample.messagesPerSecond,
        sample.bytesPerSecond,
        sample.storeCallsPerSecond,
        sample.exchangesPerSecond,
        100 * sample.controlCpu,
        100 * sample.homeCpu,
        100 * sample.allowanceCpu,
        100 * sample.peerCpu);
  }

  private static Sample measure(int instances, int groups) throws InterruptedException {
    FleetPlan plan = FleetPlan.builder().instances(instances).groups(groups).build();
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      Thread.sleep(SETTLE_MS);
      Counters before = Counters.of(fleet);
      long startNanos = System.nanoTime();
      Thread.sleep(MEASURE_MS);
      Counters after = Counters.of(fleet);
      double instanceSeconds = (System.nanoTime() - startNanos) / 1e9 * instances;
      return new Sample(
          instances,
          groups,
          averageLinks(fleet),
          (after.messages - before.messages) / instanceSeconds,
          (after.bytes - before.bytes) / instanceSeconds,
          (after.storeCalls - before.storeCalls) / instanceSeconds,
          (after.exchanges - before.exchanges) / instanceSeconds,
          (after.cpuNanosOf("control-") - before.cpuNanosOf("control-")) / 1e9 / instanceSeconds,
          (after.cpuNanosOf("home-") - before.cpuNanosOf("home-")) / 1e9 / instanceSeconds,
          (after.cpuNanosOf("allowance-") - before.cpuNanosOf("allowance-"))
              / 1e9
              / instanceSeconds,
          (after.cpuNanosOf("peer-") - before.cpuNanosOf("peer-")) / 1e9 / instanceSeconds);
    }
  }

  /** Returns the average size of a request from an idle home to a target, headers included. */
  private static double averageExchangeBytes() {
    try (LocalFleet fleet = LocalFleet.start(FleetPlan.builder().build())) {
      return fleet.targets().values().stream()
          .flatMap(target -> target.receivedRequests().stream())
          .mapToInt(String::length)
          .average()
          .orElse(0);
    }
  }

  private static double averageLinks(LocalFleet fleet) {
    double links = 0;
    for (Instance instance : fleet.instances()) {
      links += instance.control().peers().linkedPeers().size();
    }
    return links / fleet.instances().size();
  }

  private record Counters(
      long messages, long bytes, long storeCalls, long exchanges, Map<String, Long> cpuNanos) {
    static Counters of(LocalFleet fleet) {
      long messages = 0;
      long bytes = 0;
      for (Instance instance : fleet.instances()) {
        messages += instance.control().peers().messagesSent();
        bytes += instance.control().peers().bytesSent();
      }
      long storeCalls =
          fleet.platform().callCounts().values().stream().mapToLong(Long::longValue).sum();
      long exchanges =
          fleet.targets().values().stream().mapToLong(target -> target.exchangeCount()).sum();
      return new Counters(messages, bytes, storeCalls, exchanges, cpuNanosByThread());
    }

    private static Map<String, Long> cpuNanosByThread() {
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      Map<String, Long> cpuNanos = new TreeMap<>();
      for (long id : threads.getAllThreadIds()) {
        var info = threads.getThreadInfo(id);
        if (info != null) {
          cpuNanos.merge(
              info.getThreadName(), Math.max(0, threads.getThreadCpuTime(id)), Long::sum);
        }
      }
      return cpuNanos;
    }

    double cpuNanosOf(String threadPrefix) {
      double sumNanos = 0;
      for (Map.Entry<String, Long> thread : cpuNanos.entrySet()) {
        sumNanos += thread.getKey().startsWith(threadPrefix) ? thread.getValue() : 0;
      }
      return sumNanos;
    }
  }

  private static SettingsCost measureSettings() {
    long beforeBytes = usedHeapBytes();
    SortedMap<String, Team> teams = TargetSize.teams();
    Settings read = new SettingsReader().read(1, teams);
    double megabytes = (usedHeapBytes() - beforeBytes) / 1e6;
    long startNanos = System.nanoTime();
    for (int i = 0; i < SETTINGS_READS; i++) {
      read = new SettingsReader().update(read, i, teams, Set.of(CHANGED_TEAM));
    }
    double readMs = (System.nanoTime() - startNanos) / 1e6 / SETTINGS_READS;
    ConfigEntry entry =
        new ConfigEntry(
            1,
            "team-1",
            1,
            "00000000-0000-0000-0000-000000000000",
            List.of(
                new SectionChange(
                    "organisation " + read.organisations().firstKey(),
                    Map.of("rate_per_s", "1000", "burst", "1000"))));
    int stored = Json.write(entry).length();
    int sent =
        MessagePackCodec.encode(new io.hickorydrift.core.message.ConfigEntries(List.of(entry)))
            .length;
    return new SettingsCost(megabytes, readMs, Math.max(stored, sent));
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
