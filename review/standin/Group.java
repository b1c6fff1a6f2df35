package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a service of the platform: one primary and its replicas, which share a log as the
 * page "Backends" says. All state is guarded by the group's monitor.
 */
final class Group {
  /** Figures of a service. */
  record Options(
      int slots,
      int queue,
      int maxConns,
      long connectMs,
      long workMs,
      long lagMs,
      long promoteMs,
      int syncReplicas) {}

  /** One commit. */
  record Entry(long term, String connection, List<String> ids, Map<String, String> writes) {}

  final String name;
  final Options options;
  final Record record;
  final List<Backend> backends = new ArrayList<>();
  final List<Entry> log = new ArrayList<>();
  /** The session values of the connection on which each client's statement ran, by its id. */
  final Map<String, Map<String, String>> valuesByStatement = new LinkedHashMap<>();
  final ScheduledExecutorService timer;
  private final StoreWriter store;
  Backend primary;
  long term = 3;
  private long highestFence = Long.MIN_VALUE;

  /** Writes an item of the platform's store, or removes it if the value is null. */
  interface StoreWriter {
    void put(String key, Map<String, Object> value);
  }

  Group(
      String name,
      Options options,
      Record record,
      ScheduledExecutorService timer,
      StoreWriter store) {
    this.name = name;
    this.options = options;
    this.record = record;
    this.timer = timer;
    this.store = store;
  }

  Backend add(String id, String ip, String zone) throws IOException {
    Backend added = new Backend(this, id, ip, 0, zone);
    synchronized (this) {
      backends.add(added);
      if (primary == null) {
        primary = added;
      }
    }
    return added;
  }

  /** Writes the entries of all backends that run, as each does every 1.2 s. */
  synchronized void beat() {
    for (Backend each : backends) {
      if (!each.crashed) {
        announce(each);
      }
    }
  }

  synchronized void announce(Backend backend) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", name);
    entry.put("address", backend.address());
    entry.put("zone", backend.zone);
    entry.put("version", "v1");
    entry.put("slots", options.slots());
    entry.put("state", backend.draining ? "draining" : "ready");
    entry.put("coldLeftMs", 0);
    entry.put("dbRole", backend == primary ? "primary" : "replica");
    entry.put("seq", ++backend.seq);
    entry.put("born", backend.bornMs);
    store.put("servers/" + backend.id, entry);
  }

  synchronized String position(int size) {
    return (size == 0 ? term : log.get(size - 1).term()) + "." + size;
  }

  /** Whether a log of {@code size} entries holds the position {@code text}. */
  synchronized boolean holds(int size, String text) {
    int dot = text.indexOf('.');
    long wantedTerm = Long.parseLong(text.substring(0, dot));
    int index = Integer.parseInt(text.substring(dot + 1));
    if (index == 0) {
      return true;
    }
    long lastTerm = size == 0 ? 0 : log.get(size - 1).term();
    return lastTerm > wantedTerm || index <= size && log.get(index - 1).term() >= wantedTerm;
  }

  /** Appends a commit and passes it to the replicas that receive. Returns its position. */
  synchronized int commit(String connection, List<String> ids, Map<String, String> writes) {
    log.add(new Entry(term, connection, List.copyOf(ids), Map.copyOf(writes)));
    int size = log.size();
    for (Backend each : backends) {
      each.receive(size);
    }
    return size;
  }

  /** Whether as many replicas hold the commit at {@code position} as the service demands. */
  synchronized boolean isSynchronous(int position) {
    int holding = 0;
    for (Backend each : backends) {
      holding += each != primary && !each.crashed && each.received >= position ? 1 : 0;
    }
    return holding >= options.syncReplicas();
  }

  synchronized int promote(String id, long fence, String holder) {
    int status = tryPromote(id, fence);
    record.add(
        "platform  POST /promotion service=%s id=%s holder=%s fence=%d -> %d",
        name, id, holder, fence, status);
    return status;
  }

  private int tryPromote(String id, long fence) {
    if (fence < highestFence) {
      return 409;
    }
    highestFence = fence;
    for (Backend each : backends) {
      if (each.id.equals(id) && !each.crashed) {
        if (each != primary) {
          timer.schedule(() -> lead(each), options.promoteMs(), TimeUnit.MILLISECONDS);
        }
        return 200;
      }
    }
    return 409;
  }

  private synchronized void lead(Backend next) {
    if (next == primary || next.crashed) {
      return;
    }
    List<Entry> lost = new ArrayList<>();
    while (log.size() > next.received) {
      lost.add(0, log.remove(log.size() - 1));
    }
    term++;
    primary = next;
    next.deaf = false;
    next.applied = next.received;
    for (Backend each : backends) {
      each.received = Math.min(each.received, log.size());
      each.applied = Math.min(each.applied, log.size());
    }
    record.add("backend   %s leads term %d with %d commits", next.id, term, log.size());
    for (Entry each : lost) {
      record.add("backend   promotion rolled back ids=%s writes=%s", each.ids(), each.writes());
    }
    for (Backend each : backends) {
      each.receive(log.size());
    }
    beat();
    notifyAll();
  }

  /** The commit that holds the statement {@code id}, or null. */
  synchronized Entry find(String id) {
    for (Entry each : log) {
      if (each.ids().contains(id)) {
        return each;
      }
    }
    return null;
  }

  /**
   * Replaces a backend as in a release: it reports that it drains, serves on for {@code drainMs},
   * and ends. Its log is transferred to a new backend at its address.
   */
  synchronized void replace(Backend old, long drainMs) {
    record.add("plan      %s drains", old.id);
    old.draining = true;
    announce(old);
    timer.schedule(() -> succeed(old), drainMs, TimeUnit.MILLISECONDS);
  }

  private void succeed(Backend old) {
    old.crash();
    synchronized (this) {
      store.put("servers/" + old.id, null);
      String address = old.address();
      int colon = address.lastIndexOf(':');
      int port = Integer.parseInt(address.substring(colon + 1));
      try {
        Backend next =
            new Backend(this, old.id + "n", address.substring(0, colon), port, old.zone);
        next.received = Math.min(old.received, log.size());
        next.applied = next.received;
        backends.add(next);
        next.receive(log.size());
        announce(next);
        record.add("backend   %s starts at the address of %s", next.id, old.id);
      } catch (IOException e) {
        record.add("backend   no successor of %s: %s", old.id, e);
      }
    }
  }

  /** The crash of a backend: it says nothing any more, and its entry expires. */
  void crash(Backend backend, long expiryMs) {
    backend.crash();
    timer.schedule(
        () -> {
          synchronized (this) {
            store.put("servers/" + backend.id, null);
          }
        },
        expiryMs,
        TimeUnit.MILLISECONDS);
  }
}
