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
 * A small platform on one port.
 *
 * <ul>
 *   <li>{@code GET /kv/KEY[?after=VERSION&wait_ms=N]}: value and version; with {@code wait_ms} a
 *       watch
 *   <li>{@code PUT /kv/KEY?version=VERSION[&lease_ms=N]}: compare-and-swap, 409 on a conflict
 *   <li>{@code GET /machines}, {@code PUT /machines/ID}, {@code DELETE /machines/ID}: the list of
 *       live and leaving instances and targets, which lags
 *   <li>{@code PUT /faults}, {@code GET /calls}: switches and counters of the stand-in
 * </ul>
 *
 * <p>Thread safety: safe.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final long NANOS_PER_MS = 1_000_000L;

  private record Change(long atNanos, String id, ListedMachine machine) {}

  private final KeyValueStore store = new KeyValueStore();
  private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final long listLagMs;
  private final JsonServer server;
  private volatile PlatformFaults faults = PlatformFaults.NONE;

  /** A platform whose list of machines lags by {@code listLagMs}. */
  public PlatformStandin(String host, int port, long listLagMs) {
    this.listLagMs = listLagMs;
    server = new JsonServer(host, port, this::handle);
  }

  /** Starts to listen. */
  public PlatformStandin start() {
    server.start();
    return this;
  }

  /** Returns host and port. */
  public String address() {
    return server.address();
  }

  /** Switches faults. */
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

  private JsonResponse handle(JsonRequest call) throws InterruptedException {
    if (call.path().equals("/faults")) {
      faults = call.readBody(PlatformFaults.class);
      return new JsonResponse(200, faults);
    }
    if (call.path().equals("/calls")) {
      return new JsonResponse(200, callCounts());
    }
    PlatformFaults current = faults;
    if (current.outage()) {
      return new JsonResponse(0, null);
    }
    if (current.delayMs() > 0) {
      Thread.sleep(current.delayMs());
    }
    if (call.path().startsWith("/kv/")) {
      JsonResponse reply = handleKeyValue(call, call.path().substring("/kv/".length()));
      boolean lost = current.loseAnswers() && call.method().equals("PUT");
      return lost ? new JsonResponse(0, null) : reply;
    }
    return handleMachines(call);
  }

  private JsonResponse handleKeyValue(JsonRequest call, String key) throws InterruptedException {
    if (call.method().equals("PUT")) {
      countCall("write");
      long leaseMs = call.longParameter("lease_ms", 0);
      StoredValue written =
          store.compareAndSwap(key, call.body(), call.longParameter("version", 0), leaseMs);
      return written == null
          ? new JsonResponse(CONFLICT, store.get(key))
          : new JsonResponse(200, written);
    }
    long waitMs = call.longParameter("wait_ms", 0);
    countCall(waitMs > 0 ? "watch" : "read");
    StoredValue value = store.watch(key, call.longParameter("after", 0), waitMs);
    if (faults.outage()) {
      return new JsonResponse(0, null);
    }
    return value == null ? new JsonResponse(NOT_FOUND, null) : new JsonResponse(200, value);
  }

  private JsonResponse handleMachines(JsonRequest call) {
    String[] path = call.path().split("/");
    if (call.method().equals("GET")) {
      countCall("list");
      return new JsonResponse(200, visibleMachines());
    }
    String id = path[path.length - 1];
    ListedMachine machine =
        call.method().equals("DELETE") ? null : call.readBody(ListedMachine.class);
    updateMachine(id, machine);
    return new JsonResponse(200, Arrays.asList(machine));
  }

  /** Puts a machine on the list, or takes it off it if {@code machine} is null. */
  public void updateMachine(String id, ListedMachine machine) {
    synchronized (changes) {
      changes.add(new Change(System.nanoTime(), id, machine));
    }
  }

  private List<ListedMachine> visibleMachines() {
    Map<String, ListedMachine> machines = new TreeMap<>();
    long seenUntilNanos = System.nanoTime() - listLagMs * NANOS_PER_MS;
    synchronized (changes) {
      for (Change change : changes) {
        if (change.atNanos - seenUntilNanos > 0) {
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
