package io.hickorydrift.standin.platform;

import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.standin.http.JsonServer;
import io.hickorydrift.standin.http.JsonServer.Call;
import io.hickorydrift.standin.http.JsonServer.Reply;
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
    server = new JsonServer(host, port, this::respond);
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
  public Map<String, Long> calls() {
    Map<String, Long> counts = new TreeMap<>();
    calls.forEach((kind, count) -> counts.put(kind, count.get()));
    return counts;
  }

  @Override
  public void close() {
    server.close();
  }

  private Reply respond(Call call) throws InterruptedException {
    if (call.path().equals("/faults")) {
      faults = call.read(PlatformFaults.class);
      return new Reply(200, faults);
    }
    if (call.path().equals("/calls")) {
      return new Reply(200, calls());
    }
    PlatformFaults current = faults;
    if (current.outage()) {
      return new Reply(0, null);
    }
    if (current.delayMs() > 0) {
      Thread.sleep(current.delayMs());
    }
    if (call.path().startsWith("/kv/")) {
      Reply reply = keyValue(call, call.path().substring("/kv/".length()));
      boolean lost = current.loseAnswers() && call.method().equals("PUT");
      return lost ? new Reply(0, null) : reply;
    }
    return machines(call);
  }

  private Reply keyValue(Call call, String key) throws InterruptedException {
    if (call.method().equals("PUT")) {
      count("write");
      long leaseMs = call.number("lease_ms", 0);
      StoredValue written = store.swap(key, call.body(), call.number("version", 0), leaseMs);
      return written == null ? new Reply(CONFLICT, store.get(key)) : new Reply(200, written);
    }
    long waitMs = call.number("wait_ms", 0);
    count(waitMs > 0 ? "watch" : "read");
    StoredValue value = store.watch(key, call.number("after", 0), waitMs);
    if (faults.outage()) {
      return new Reply(0, null);
    }
    return value == null ? new Reply(NOT_FOUND, null) : new Reply(200, value);
  }

  private Reply machines(Call call) {
    String[] path = call.path().split("/");
    if (call.method().equals("GET")) {
      count("list");
      return new Reply(200, listed());
    }
    String id = path[path.length - 1];
    ListedMachine machine = call.method().equals("DELETE") ? null : call.read(ListedMachine.class);
    list(id, machine);
    return new Reply(200, Arrays.asList(machine));
  }

  /** Puts a machine on the list, or takes it off it if {@code machine} is null. */
  public void list(String id, ListedMachine machine) {
    synchronized (changes) {
      changes.add(new Change(System.nanoTime(), id, machine));
    }
  }

  private List<ListedMachine> listed() {
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

  private void count(String kind) {
    calls.computeIfAbsent(kind, name -> new AtomicLong()).incrementAndGet();
  }
}
