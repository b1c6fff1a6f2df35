package io.hickorydrift.proxy.process;

import io.hickorydrift.proxy.cli.Main;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Child process that runs the main class, with the key=value lines that it prints at its start. */
final class ChildProcess implements AutoCloseable {
  private final Process process;
  private final Map<String, String> addresses = new HashMap<>();

  /**
   * Runs the main class with {@code arguments} and reads its output up to the line whose key is
   * {@code lastKey}.
   */
  ChildProcess(String lastKey, String... arguments) throws IOException {
    this(ProcessBuilder.Redirect.DISCARD, lastKey, arguments);
  }

  /** Also sends the log of the process to {@code log}. */
  ChildProcess(ProcessBuilder.Redirect log, String lastKey, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    // A process inherits which signals are ignored, for instance SIGHUP from a parent under nohup.
    command.addAll(List.of("env", "--default-signal=HUP,INT"));
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(List.of("-Xmx256m", "-cp", System.getProperty("java.class.path")));
    command.add(Main.class.getName());
    command.addAll(List.of(arguments));
    process = new ProcessBuilder(command).redirectError(log).start();
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    while (!addresses.containsKey(lastKey)) {
      String line = lines.readLine();
      if (line == null) {
        throw new IOException("process exited before it printed " + lastKey);
      }
      String[] parts = line.split("=", 2);
      addresses.put(parts[0], parts.length < 2 ? "" : parts[1]);
    }
  }

  String address(String name) {
    return addresses.get(name);
  }

  /** Sends a signal by name, such as STOP, CONT or TERM. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  void kill() {
    process.destroyForcibly();
  }

  int waitFor(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
