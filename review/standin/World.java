package review;

import io.hickorydrift.platform.standin.StandinStore;
import io.hickorydrift.proxy.net.EventLoop;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the platform (the project's stand-in for the store, and
 * one here for promotions), the backends, and the processes of the system.
 */
final class World implements AutoCloseable {
  static final String KEY = "u6wsjnbanfqasnmgkcuy";
  static final String TENANT = "nypu920";
  private static final int FIRST_PORT = 10_000;
  private static final int PORTS = 20_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Path folder;
  final List<String> zones = List.of("rhondda", "cynon", "taf");
  final String storeAddress;
  final String cloudAddress;
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, World::daemon);
  final List<Group> groups = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  final List<Map<String, Object>> routes = new ArrayList<>();
  final Map<String, List<String>> tenants = new LinkedHashMap<>(Map.of(TENANT, List.of(KEY)));
  final EventLoop loop = new EventLoop();
  StandinStore store;
  private final HttpServer cloud;
  private final Random random = new Random();
  private final Set<Integer> givenPorts = new HashSet<>();
  private final String prefix = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
  private long version = 5;
  private int nextHost = 1;

  World(Path caseFolder) throws IOException {
    record = new Record(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("review");
    String ip = nextIp();
    storeAddress = ip + ":" + freePort(ip);
    loop.post(this::openStore);
    Thread thread = daemon(this::runLoop);
    thread.start();
    cloud = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 50);
    cloud.createContext("/promotion", this::promotion);
    cloud.setExecutor(Executors.newCachedThreadPool(World::daemon));
    cloud.start();
    cloudAddress = ip + ":" + cloud.getAddress().getPort();
    timer.scheduleWithFixedDelay(this::beat, 1_200, 1_200, TimeUnit.MILLISECONDS);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  private void openStore() {
    try {
      store = new StandinStore(loop, storeAddress);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void runLoop() {
    try {
      loop.run();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void beat() {
    groups.forEach(Group::beat);
  }

  String nextIp() {
    return prefix + "." + nextHost++;
  }

  /** Returns a port that is free, was not returned before, and is none that connections get. */
  int freePort(String ip) throws IOException {
    while (true) {
      int port = FIRST_PORT + random.nextInt(PORTS);
      if (!givenPorts.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        record.add("system    port %d is not free at %s", port, ip);
      }
    }
  }

  void put(String key, Map<String, Object> value) {
    loop.post(
        () -> {
          if (value == null) {
            store.remove(key);
          } else {
            store.put(key, value);
          }
        });
  }

  Group addGroup(String name, Group.Options options) throws IOException {
    Group group = new Group(name, options, record, timer, this::put);
    for (int i = 0; i < 3; i++) {
      group.add("i-" + name + i, nextIp(), zones.get(i));
    }
    groups.add(group);
    group.beat();
    return group;
  }

  void addRoute(String database, String service, String kind, int timeoutMs, int maxStalenessMs) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "r-" + database);
    route.put("host", database);
    route.put("prefix", "/");
    route.put("kind", kind);
    route.put("timeoutMs", timeoutMs);
    route.put("objectiveMs", 200);
    route.put("priority", 1);
    route.put("service", service);
    route.put("maxAttempts", 2);
    route.put("public", false);
    if (maxStalenessMs > 0) {
      route.put("maxStalenessMs", maxStalenessMs);
    }
    routes.add(route);
  }

  /** Writes the configuration, as the operator does. */
  void publish() {
    version += 2;
    List<Object> services = new ArrayList<>();
    for (Group each : groups) {
      Map<String, Object> service = new LinkedHashMap<>();
      service.put("name", each.name);
      service.put("healthPath", "/health");
      service.put("maxConns", each.options.maxConns());
      service.put("protocol", "h1");
      service.put("tls", false);
      service.put("syncReplicas", each.options.syncReplicas());
      services.add(service);
    }
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("version", version);
    config.put("routes", List.copyOf(routes));
    config.put("services", services);
    config.put(
        "limits",
        Map.of(
            "maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000,
            "idleTimeoutMs", 15000, "txIdleMs", 3000));
    List<Object> declared = new ArrayList<>();
    tenants.forEach(
        (name, keys) ->
            declared.add(
                Map.of("name", name, "apiKeys", keys, "priority", 1, "ratePerS", 2000, "burst", 2000)));
    config.put("tenants", declared);
    put("op/config", config);
    record.add("operator  writes version %d", version);
  }

  /** Starts {@code count} processes and waits until all are ready. */
  void startGateways(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      String zone = zones.get(i % zones.size());
      gateways.add(new Gateway(this, "edge-" + zone + "-" + (i / zones.size() + 1), zone, nextIp()));
    }
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (!gateways.stream().allMatch(Gateway::isReady)) {
      if (System.nanoTime() - endNanos > 0) {
        throw new IOException("the system was not ready in 40 s; logs are in " + folder);
      }
      Thread.sleep(200);
    }
    record.add("system    all %d processes are ready", count);
    Thread.sleep(4_000);
  }

  /** The process whose log says last that it is the home of {@code group}, or null. */
  Gateway homeOf(String group) throws IOException {
    Pattern homes = Pattern.compile("event=homes_changed homes=\\[([^\\]]*)\\]");
    for (Gateway each : gateways) {
      Matcher matcher = homes.matcher(each.log());
      String last = "";
      while (matcher.find()) {
        last = matcher.group(1);
      }
      if (List.of(last.split(", ")).contains(group)) {
        return each;
      }
    }
    return null;
  }

  private void promotion(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String fence = exchange.getRequestHeaders().getFirst("X-Hickorydrift-Fence-Token");
    String holder = exchange.getRequestHeaders().getFirst("X-Hickorydrift-Duty-Holder");
    int status = 400;
    for (Group each : groups) {
      if (fence != null && field(body, "service").equals(each.name)) {
        status = each.promote(field(body, "id"), Long.parseLong(fence), holder);
      }
    }
    byte[] answer = "{}".getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, answer.length);
    exchange.getResponseBody().write(answer);
    exchange.close();
  }

  private static String field(String body, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  private void endProcesses() {
    gateways.forEach(Gateway::end);
  }

  @Override
  public void close() {
    endProcesses();
    timer.shutdownNow();
  }
}
