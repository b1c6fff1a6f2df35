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
 * What control costs on idle fleets of several sizes, and what settings of the target size cost.
 *
 * <p>Thread safety: immutable after {@link #collect}.
 */
final class CapacitySamples {
  /** Cost of one instance of an idle fleet. */
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
    /** Part of the instances that are relays. */
    double relayFraction() {
      return Math.min(1, (double) RELAYS / instances);
    }

    /** Processor time that grows with links. */
    double cpuGrowingWithLinks() {
      return controlCpu + peerCpu;
    }

    /** Processor time of the duties that do not depend on links. */
    double cpuIndependentOfLinks() {
      return homeCpu + allowanceCpu;
    }
  }

  /** Cost of settings of the target size. */
  record SettingsCost(double megabytes, double readMs, int entryBytes) {}

  private static final int[] SIZES = {2, 4, 7, 14, 28};
  private static final int[] GROUPS = {1, 8, 24};
  private static final int GROUP_FLEET = 3;

  /** Relays of a plan's three failure domains. */
  private static final int RELAYS = 6;

  private static final long SETTLE_MS = 5_000;
  private static final long MEASURE_MS = 8_000;
  private static final int READS = 20;
  private static final String CHANGED_TEAM = "team-1";

  final List<Sample> byInstances = new ArrayList<>();
  final List<Sample> byGroups = new ArrayList<>();
  SettingsCost settings;
  double exchangeBytes;

  private CapacitySamples() {}

  /** Measures, printing each sample as it comes. */
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
            "control % of a core",
            "home %",
            "allowance %",
            "peer links % |"));
    out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    for (int size : SIZES) {
      Sample sample = measure(size, 1);
      samples.byInstances.add(sample);
      print(out, sample);
    }
    for (int groups : GROUPS) {
      Sample sample = measure(GROUP_FLEET, groups);
      samples.byGroups.add(sample);
      print(out, sample);
    }
    samples.exchangeBytes = exchangeBytes();
    samples.settings = settingsCost();
    return samples;
  }

  private static void print(PrintStream out, Sample sample) {
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
      double per = (System.nanoTime() - startNanos) / 1e9 * instances;
      return new Sample(
          instances,
          groups,
          links(fleet),
          (after.messages - before.messages) / per,
          (after.bytes - before.bytes) / per,
          (after.storeCalls - before.storeCalls) / per,
          (after.exchanges - before.exchanges) / per,
          (after.cpu("control-") - before.cpu("control-")) / 1e9 / per,
          (after.cpu("home-") - before.cpu("home-")) / 1e9 / per,
          (after.cpu("allowance-") - before.cpu("allowance-")) / 1e9 / per,
          (after.cpu("peer-") - before.cpu("peer-")) / 1e9 / per);
    }
  }

  /** Returns the average size of a request of an idle home to a target, headers included. */
  private static double exchangeBytes() {
    try (LocalFleet fleet = LocalFleet.start(FleetPlan.builder().build())) {
      return fleet.targets().values().stream()
          .flatMap(target -> target.receivedRequests().stream())
          .mapToInt(String::length)
          .average()
          .orElse(0);
    }
  }

  private static double links(LocalFleet fleet) {
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
      long calls = fleet.platform().callCounts().values().stream().mapToLong(Long::longValue).sum();
      long exchanges =
          fleet.targets().values().stream().mapToLong(target -> target.exchangeCount()).sum();
      return new Counters(messages, bytes, calls, exchanges, cpuByThread());
    }

    private static Map<String, Long> cpuByThread() {
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      Map<String, Long> cpu = new TreeMap<>();
      for (long id : threads.getAllThreadIds()) {
        var info = threads.getThreadInfo(id);
        if (info != null) {
          cpu.merge(info.getThreadName(), Math.max(0, threads.getThreadCpuTime(id)), Long::sum);
        }
      }
      return cpu;
    }

    double cpu(String prefix) {
      double sum = 0;
      for (Map.Entry<String, Long> thread : cpuNanos.entrySet()) {
        sum += thread.getKey().startsWith(prefix) ? thread.getValue() : 0;
      }
      return sum;
    }
  }

  private static SettingsCost settingsCost() {
    long before = usedBytes();
    SortedMap<String, Team> teams = TargetSize.teams();
    Settings read = new SettingsReader().read(1, teams);
    double megabytes = (usedBytes() - before) / 1e6;
    long startNanos = System.nanoTime();
    for (int i = 0; i < READS; i++) {
      read = new SettingsReader().update(read, i, teams, Set.of(CHANGED_TEAM));
    }
    double readMs = (System.nanoTime() - startNanos) / 1e6 / READS;
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

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
