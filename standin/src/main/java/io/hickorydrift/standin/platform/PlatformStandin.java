package io.hickorydrift.standin.platform;

import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.standin.http.JsonServer;
import io.hickorydrift.standin.http.JsonServer.JsonRequest;
import io.hickorydrift.standin.http.JsonServer.JsonResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * In-memory platform over HTTP on one port, for tests and the demo.
 *
 * <ul>
 *   <li>{@code GET /kv/KEY[?after=VERSION&wait_ms=N]}: value and version; with {@code wait_ms} a
 *       watch
 *   <li>{@code PUT /kv/KEY?version=VERSION[&lease_ms=N]}: compare-and-swap, 409 on a conflict
 *   <li>{@code GET /machines}, {@code PUT /machines/ID}, {@code DELETE /machines/ID}: the list of
 *       live and leaving instances and targets, with a configurable lag
 *   <li>{@code PUT /faults}, {@code GET /calls}: injected faults and call counts
 * </ul>
 *
 * <p>Thread safety: safe.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final long NANOS_PER_MS = 1_000_000L;

  private record MachineChange(long atNanos, String id, ListedMachine machine) {}

  private final KeyValueStore store = new KeyValueStore();
  private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();
  private final List<MachineChange> changes = new ArrayList<>();
  private final long listLagMs;
  private final JsonServer server;
  private volatile PlatformFaults faults = PlatformFaults.NONE;

  /** Creates a platform whose list of machines lags by {@code listLagMs}. */
  public PlatformStandin(String host, int port, long listLagMs) {
    this.listLagMs = listLagMs;
    server = new JsonServer(host, port, this::handle);
  }

  /** Starts listening. */
  public PlatformStandin start() {
    server.start();
    return this;
  }

  /** Returns host and port. */
  public String address() {
    return server.address();
  }

  /** Replaces the injected faults. */
  public void setFaults(PlatformFaults newFaults) {
    faults = newFaults;
  }

  /** Returns the number of calls so far by kind: read, write, watch, list. */
  public Map<String, Long> callCounts() {
    Map<String, Long> counts = new TreeMap<>();
    calls.forEach((kind, count) -> counts.put(kind, count.get()));
    return counts;
  }

  @Override
  public void close() {
    server.close();
  }

  private JsonResponse handle(JsonRequest request) throws InterruptedException {
    if (request.path().equals("/faults")) {
      faults = request.readBody(PlatformFaults.class);
      return new JsonResponse(200, faults);
    }
    if (request.path().equals("/calls")) {
      return new JsonResponse(200, callCounts());
    }
    PlatformFaults current = faults;
    if (current.outage()) {
      return new JsonResponse(0, null);
    }
    if (current.delayMs() > 0) {
      Thread.sleep(current.delayMs());
    }
    if (request.path().startsWith("/kv/")) {
      JsonResponse response = handleKeyValue(request, request.path().substring("/kv/".length()));
      boolean answerLost = current.loseAnswers() && request.method().equals("PUT");
      return answerLost ? new JsonResponse(0, null) : response;
    }
    return handleMachines(request);
  }

  private JsonResponse handleKeyValue(JsonRequest request, String key) throws InterruptedException {
    if (request.method().equals("PUT")) {
      countCall("write");
      long leaseMs = request.longParameter("lease_ms", 0);
      StoredValue written =
          store.compareAndSwap(key, request.body(), request.longParameter("version", 0), leaseMs);
      return written == null
          ? new JsonResponse(CONFLICT, store.get(key))
          : new JsonResponse(200, written);
    }
    long waitMs = request.longParameter("wait_ms", 0);
    countCall(waitMs > 0 ? "watch" : "read");
    StoredValue value = store.watch(key, request.longParameter("after", 0), waitMs);
    if (faults.outage()) {
      return new JsonResponse(0, null);
    }
    return value == null ? new JsonResponse(NOT_FOUND, null) : new JsonResponse(200, value);
  }

  private JsonResponse handleMachines(JsonRequest request) {
    String[] path = request.path().split("/");
    if (request.method().equals("GET")) {
      countCall("list");
      return new JsonResponse(200, visibleMachines());
    }
    String id = path[path.length - 1];
    ListedMachine machine =
        request.method().equals("DELETE") ? null : request.readBody(ListedMachine.class);
    updateMachine(id, machine);
    return new JsonResponse(200, Arrays.asList(machine));
  }

  /** Adds or replaces a machine in the list, or removes it if {@code machine} is null. */
  public void updateMachine(String id, ListedMachine machine) {
    synchronized (changes) {
      changes.add(new MachineChange(System.nanoTime(), id, machine));
    }
  }

  private List<ListedMachine> visibleMachines() {
    Map<String, ListedMachine> machines = new TreeMap<>();
    long visibleUntilNanos = System.nanoTime() - listLagMs * NANOS_PER_MS;
    synchronized (changes) {
      for (MachineChange change : changes) {
        if (change.atNanos - visibleUntilNanos > 0) {
          break;
        }
        if (change.machine == null) {
          machines.remove(change.id);
        } else {
          machines.put(change.id, change.machine);
        }
      }
    }
    return List.copyOf(machines.values());
  }

  private void countCall(String kind) {
    calls.computeIfAbsent(kind, name -> new AtomicLong()).incrementAndGet();
  }
}
