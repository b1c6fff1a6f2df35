package io.hickorydrift.proxy.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Processor time and peak memory until callers can connect, compared with a minimal process. */
public final class StartExperiment implements Experiment {
  private static final int RUNS = 7;
  private static final long POLL_MS = 2;
  private static final long START_TIMEOUT_MS = 10_000;
  // The JVM uses the class-data archive only if its options agree with those it was created with.
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
  // Linux reports the processor time of a process in ticks of 10 ms.
  private static final long TICK_MS = 10;
  private static final int USER_TICKS_INDEX = 11;
  private static final int SYSTEM_TICKS_INDEX = 12;

  private record StartSample(long wallMs, long cpuMs, long peakMb) {}

  @Override
  public String name() {
    return "start";
  }

  @Override
  public String summary() {
    return "processor time and peak memory of a start, with and without the class-data archive";
  }

  @Override
  public void run(PrintStream out) throws Exception {
    String jar = jarPath();
    final String archive = "-XX:SharedArchiveFile=" + jar.replace(".jar", ".jsa");
    out.printf("| process, median of %d starts | wall ms | CPU ms | peak MB |%n", RUNS);
    out.println("|---|---|---|---|");
    measure(out, "minimal process", List.of("-cp", jar, BareProcess.class.getName()), false);
    measure(out, "gateway, no archive", List.of("-jar", jar, "gateway", "--settings"), true);
    measure(
        out,
        "gateway, class-data archive",
        List.of(archive, "-jar", jar, "gateway", "--settings"),
        true);
  }

  private static String jarPath() throws URISyntaxException {
    Path path =
        Path.of(StartExperiment.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (!path.toString().endsWith(".jar")) {
      throw new IllegalStateException(
          "requires the packaged jar; classes were loaded from " + path);
    }
    return path.toString();
  }

  private static void measure(
      PrintStream out, String name, List<String> programArguments, boolean withSettings)
      throws Exception {
    List<StartSample> starts = new ArrayList<>();
    for (int i = 0; i < RUNS; i++) {
      starts.add(start(programArguments, withSettings));
    }
    out.printf(
        "| %s | %d | %d | %d |%n",
        name,
        median(starts.stream().mapToLong(StartSample::wallMs).toArray()),
        median(starts.stream().mapToLong(StartSample::cpuMs).toArray()),
        median(starts.stream().mapToLong(StartSample::peakMb).toArray()));
  }

  private static long median(long[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }

  private static StartSample start(List<String> programArguments, boolean withSettings)
      throws Exception {
    final int port = FreePorts.next();
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.addAll(programArguments);
    Path file = Files.createTempFile("start", ".ini");
    if (withSettings) {
      Files.writeString(file, settingsText(port));
      command.add(file.toString());
    } else {
      command.add(String.valueOf(port));
    }
    long startNanos = System.nanoTime();
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      awaitPort(port, process);
      long wallMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      return new StartSample(wallMs, cpuMs(process), peakMb(process));
    } finally {
      process.destroyForcibly().waitFor();
      Files.delete(file);
    }
  }

  private static String settingsText(int port) throws IOException {
    String address = "127.0.0.1:";
    return String.join(
        "\n",
        "[instance]",
        "id = start",
        "failure_domain = d",
        "[listen]",
        "callers = " + address + port,
        "readiness = " + address + FreePorts.next(),
        "peers = " + address + FreePorts.next(),
        "metrics = " + address + FreePorts.next(),
        "[platform]",
        "store = " + address + FreePorts.next(),
        "promotion = " + address + FreePorts.next(),
        "[bounds]",
        "key_validity_ms = 5000",
        "[stop]",
        "grace_ms = 6000",
        "[capacity]",
        "core_share = 0.75",
        "cores = 1",
        "link_mbps = 1000",
        "");
  }

  private static void awaitPort(int port, Process process) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (System.nanoTime() - deadlineNanos < 0 && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        return;
      } catch (IOException e) {
        Thread.sleep(POLL_MS); // Not bound yet; retry until the timeout.
      }
    }
    throw new IllegalStateException("the process exited or did not accept connections in time");
  }

  private static long cpuMs(Process process) throws IOException {
    String stat = Files.readString(Path.of("/proc", String.valueOf(process.pid()), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(fields[USER_TICKS_INDEX]) + Long.parseLong(fields[SYSTEM_TICKS_INDEX]);
    return ticks * TICK_MS;
  }

  private static long peakMb(Process process) throws IOException {
    Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
      }
    }
    throw new IllegalStateException("no peak resident memory (VmHWM) in " + status);
  }
}
