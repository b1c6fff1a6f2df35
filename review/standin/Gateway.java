package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the command of the deploy file. */
final class Gateway {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final String SETTINGS = "/etc/hickorydrift/local.json";

  final String id;
  final String front;
  private final String ready;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  Gateway(World world, String id, String zone, String ip) throws IOException {
    this.id = id;
    record = world.record;
    front = ip + ":" + world.freePort(ip);
    ready = ip + ":" + world.freePort(ip);
    settings = world.folder.resolve(id + ".ini");
    log = world.folder.resolve(id + ".log");
    Files.writeString(settings, render(world, zone, ip));
    start();
  }

  private String render(World world, String zone, String ip) throws IOException {
    StringBuilder zones = new StringBuilder();
    for (String each : world.zones) {
      zones.append(each).append(" = region-1\n");
    }
    String text = Files.readString(Path.of("deploy/settings.ini"));
    text = text.replaceAll("(?s)\\{\\{#bounds.evacuateMs\\}\\}.*?\\{\\{/bounds.evacuateMs\\}\\}", "");
    text = text.replaceAll("(?s)\\{\\{#zones\\}\\}.*?\\{\\{/zones\\}\\}\n?", zones.toString());
    return text.replace("{{node}}", id)
        .replace("{{zone}}", zone)
        .replace("{{listen.front}}", front)
        .replace("{{listen.ready}}", ready)
        .replace("{{ip}}", ip)
        .replace("{{portRange.0}}", String.valueOf(world.freePort(ip)))
        .replace("{{platform.address}}", world.storeAddress)
        .replace("{{cloud.address}}", world.cloudAddress)
        .replace("{{bounds.revokeMs}}", "5000")
        .replace("{{bounds.graceS}}", "6")
        .replace("{{limits.cpuShare}}", "0.75")
        .replace("{{limits.cores}}", "1")
        .replace("{{limits.linkMbps}}", "1000.0")
        .replace("{{limits.maxFds}}", "4200");
  }

  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.replaceAll(word -> word.equals(SETTINGS) ? settings.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("HICKORYDRIFT_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    record.add("system    %s starts", id);
  }

  void signal(String name) throws IOException, InterruptedException {
    record.add("fault     SIG%s to %s", name, id);
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  void kill() throws InterruptedException {
    record.add("fault     SIGKILL to %s", id);
    process.destroyForcibly().waitFor();
  }

  void end() {
    try {
      if (process.isAlive()) {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  boolean isRunning() {
    return process.isAlive();
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection) URI.create("http://" + ready + "/-/readiness").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      int status = call.getResponseCode();
      call.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  String log() throws IOException {
    return new String(Files.readAllBytes(log), StandardCharsets.UTF_8);
  }
}
