package review;

import io.hickorydrift.platform.standin.StandinCaller;
import io.hickorydrift.platform.standin.StandinPlatform;
import io.hickorydrift.platform.standin.StoreEraHeader;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.net.TcpListener;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * What all cases share: the platform, targets and callers as stand-ins on one event loop, and
 * instances as processes that are started with the command and the settings template of the deploy
 * folder. Each instance has a loopback address of its own. All processes end with the case.
 */
final class Rig implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  /** What one case does. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  /** Runs a case and exits with its code; an error means that it could not run. */
  static void run(List<String> zones, Case each) {
    int code = COULD_NOT_RUN;
    try (Rig rig = new Rig(zones)) {
      code = each.run(rig);
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  /** One instance. */
  final class Node {
    final String id;
    final String zone;
    final String ip;
    final String callers;
    final String readiness;
    final Path settings;
    Process process;

    private Node(String id, String zone, String store) throws IOException {
      this.id = id;
      this.zone = zone;
      ip = nextIp();
      callers = free(ip);
      readiness = free(ip);
      settings = folder.resolve(id + ".ini");
      Map<String, String> values = new HashMap<>();
      values.put("node", id);
      values.put("zone", zone);
      values.put("ip", ip);
      values.put("listen.front", callers);
      values.put("listen.ready", readiness);
      values.put("portRange.0", String.valueOf(port(free(ip))));
      values.put("platform.address", store);
      values.put("cloud.address", promotionAddress);
      values.put("bounds.revokeMs", "5000");
      values.put("bounds.graceS", "6");
      values.put("limits.cpuShare", "0.75");
      values.put("limits.cores", "1");
      values.put("limits.linkMbps", "1000.0");
      values.put("limits.maxFds", "4300");
      Files.writeString(settings, fill(values));
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
      List<String> command = new ArrayList<>();
      for (String word : runCommand.split(" +")) {
        command.add(word.equals("/etc/hickorydrift/local.json") ? settings.toString() : word);
      }
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile()));
      process = builder.start();
      record("started " + id + " zone=" + zone + " ip=" + ip);
    }

    boolean isReady() {
      try {
        HttpURLConnection connection =
            (HttpURLConnection) new URL("http://" + readiness + "/-/readiness").openConnection();
        connection.setConnectTimeout(300);
        connection.setReadTimeout(300);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  final EventLoop loop = new EventLoop();
  final StandinPlatform platform;
  final String storeAddress;
  final String promotionAddress;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path root;
  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final String runCommand;
  private final String template;
  private final List<Node> nodes = new ArrayList<>();
  private final List<String> zones;
  private int addresses;
  private long ids;

  /** Creates a rig whose record goes into the folder of the case. */
  Rig(List<String> zones) throws IOException {
    this.zones = zones;
    root = Path.of(System.getProperty("review.root"));
    folder = Files.createTempDirectory("review");
    record =
        new PrintWriter(
            Files.newBufferedWriter(Path.of(System.getProperty("review.case"), "record.txt")));
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    runCommand = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
    template = Files.readString(root.resolve("deploy/settings.ini"));
    storeAddress = free(nextIp());
    promotionAddress = free(nextIp());
    platform = new StandinPlatform(loop, storeAddress, promotionAddress);
    // The pages in force name no such header.
    platform.store().setEraHeader(StoreEraHeader.ABSENT);
    record("trouble=" + (trouble ? 1 : 0));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private String nextIp() {
    long pid = ProcessHandle.current().pid();
    addresses++;
    return "127." + (64 + pid % 128) + "." + (pid / 128 % 256) + "." + addresses;
  }

  /** Returns a free address at a loopback host of its own. */
  String freeAddress() throws IOException {
    return free(nextIp());
  }

  private static String free(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return ip + ":" + socket.getLocalPort();
    }
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** Fills in the template as DEPLOY says, as far as deploy/settings.ini uses it. */
  private String fill(Map<String, String> values) {
    StringBuilder list = new StringBuilder();
    zones.forEach(each -> list.append(each).append(" = region\n"));
    String text =
        template
            .replaceAll("(?s)\\{\\{#bounds.evacuateMs}}.*?\\{\\{/bounds.evacuateMs}}", "")
            .replaceAll("(?s)\\{\\{#zones}}.*?\\{\\{/zones}}", list.toString());
    for (Map.Entry<String, String> each : values.entrySet()) {
      text = text.replace("{{" + each.getKey() + "}}", each.getValue());
    }
    return text;
  }

  Node add(String id, String zone) throws IOException {
    return add(id, zone, storeAddress);
  }

  Node add(String id, String zone, String store) throws IOException {
    Node node = new Node(id, zone, store);
    nodes.add(node);
    return node;
  }

  /** Starts all instances; returns whether all are ready in time. */
  boolean startAll() throws IOException {
    for (Node node : nodes) {
      node.start();
    }
    long endNanos = System.nanoTime() + 40_000_000_000L;
    while (System.nanoTime() < endNanos) {
      runFor(300);
      // The readiness is asked for by another thread, since the store has to answer meanwhile.
      if (onOtherThread(() -> nodes.stream().allMatch(Node::isReady))) {
        record("all instances are ready");
        return true;
      }
    }
    record("instances not ready in time");
    return false;
  }

  private boolean onOtherThread(BooleanSupplier question) throws IOException {
    boolean[] result = new boolean[2];
    Thread thread =
        new Thread(
            () -> {
              result[0] = question.getAsBoolean();
              result[1] = true;
              loop.post(() -> {});
            });
    thread.start();
    loop.runWhile(() -> thread.isAlive());
    return result[0];
  }

  List<Node> nodes() {
    return nodes;
  }

  /** Runs the stand-ins for {@code ms}. */
  void runFor(long ms) throws IOException {
    boolean[] over = {false};
    loop.after(ms, () -> over[0] = true);
    loop.runWhile(() -> !over[0]);
  }

  /** Runs the stand-ins until {@code condition} holds, for {@code ms} at most. */
  boolean runUntil(long ms, BooleanSupplier condition) throws IOException {
    boolean[] over = {false};
    loop.after(ms, () -> over[0] = true);
    loop.every(5, () -> {});
    loop.runWhile(() -> !over[0] && !condition.getAsBoolean());
    return condition.getAsBoolean();
  }

  /** Sends a request and runs the stand-ins until its answer is there; empty if there is none. */
  List<String> call(StandinCaller caller, String line, long ms) throws IOException {
    List<List<String>> answer = new ArrayList<>();
    caller.send(line + "\r\n", answer::add);
    runUntil(ms, () -> !answer.isEmpty());
    List<String> lines = answer.isEmpty() ? List.of() : answer.get(0);
    record("sent " + line + " -> " + lines);
    return lines;
  }

  String nextId() {
    return String.format("%016x", 0x5c0e7a2100000000L + ++ids);
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void record(String line) {
    synchronized (record) {
      record.printf("%8d ms  %s%n", nowMs(), line);
      record.flush();
    }
  }

  /** Records the verdict and returns the exit code. */
  int verdict(boolean broken, String reason) {
    record((broken ? "BROKEN " : "HELD ") + reason);
    System.out.println((broken ? "broken: " : "held: ") + reason);
    return broken ? BROKEN : HELD;
  }

  int couldNotRun(String reason) {
    record("COULD NOT RUN " + reason);
    System.out.println("could not run: " + reason);
    return COULD_NOT_RUN;
  }

  private void endProcesses() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    for (Node node : nodes) {
      try {
        if (node.process != null) {
          node.process.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
    } else {
      deleteFolder();
    }
    record.close();
  }

  private void deleteFolder() {
    java.io.File[] files = folder.toFile().listFiles();
    for (java.io.File file : files == null ? new java.io.File[0] : files) {
      file.delete();
    }
    folder.toFile().delete();
  }

  /** A connection to a target as it was seen on the wire. */
  static final class Seen {
    final String target;
    final String tenant;
    final String id;
    final String text;
    final long atMs;

    Seen(String target, String tenant, String id, String text, long atMs) {
      this.target = target;
      this.tenant = tenant;
      this.id = id;
      this.text = text;
      this.atMs = atMs;
    }
  }

  /** Passes connections on to a target unchanged, and notes the statements with their tenant. */
  final class Tap {
    final List<Seen> seen = new ArrayList<>();
    private final String target;
    private final String address;

    Tap(String target, String listen, String address) throws IOException {
      this.target = target;
      this.address = address;
      new TcpListener(loop, listen, this::accept);
    }

    private ChannelHandler accept(TcpChannel channel) {
      Side near = new Side(true);
      Side far = new Side(false);
      near.channel = channel;
      near.other = far;
      far.other = near;
      far.channel = TcpChannel.connect(loop, address, far);
      return near;
    }

    private final class Side implements ChannelHandler {
      private final boolean near;
      private final StringBuilder text = new StringBuilder();
      private TcpChannel channel;
      private Side other;
      private String tenant = "";

      private Side(boolean near) {
        this.near = near;
      }

      @Override
      public void received(ByteBuffer in) {
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        if (near) {
          text.append(new String(bytes, StandardCharsets.ISO_8859_1));
          for (int end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n")) {
            note(text.substring(0, end));
            text.delete(0, end + 2);
          }
        }
        if (!other.channel.isClosed()) {
          other.channel.out().octets(bytes);
        }
      }

      private void note(String line) {
        String[] words = line.split(" ", 3);
        if (words[0].equals("STARTUP")) {
          tenant = line.split(" ")[2];
        } else if (words[0].equals("QUERY") && words.length == 3 && !words[1].equals("-")) {
          seen.add(new Seen(target, tenant, words[1], words[2], nowMs()));
        }
      }

      @Override
      public void closed(String reason) {
        if (!other.channel.isClosed()) {
          other.channel.closeAfterFlush();
        }
      }
    }
  }
}
