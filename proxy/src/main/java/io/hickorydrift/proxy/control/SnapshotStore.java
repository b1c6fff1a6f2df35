package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.SnapshotReader;
import io.hickorydrift.core.config.SnapshotWriter;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SnapshotHead;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Snapshots of the settings in the store, so that an instance that starts need not read every
 * entry.
 *
 * <p>Invariants: the head names a snapshot only after all its parts are written; it never goes back
 * to an older entry. A snapshot that fails half-way leaves parts that nothing names.
 *
 * <p>Thread safety: safe; results complete on Jetty's threads.
 */
final class SnapshotStore {
  private static final String HEAD = "config/snapshot/head";
  private static final String PART_PREFIX = "config/snapshot/";

  /** A whole snapshot. */
  record Snapshot(long entry, SortedMap<String, Team> teams) {}

  private final PlatformClient platform;

  SnapshotStore(PlatformClient platform) {
    this.platform = platform;
  }

  /** Writes a snapshot; a failure is logged and left, since the next one makes up for it. */
  void write(long entry, SortedMap<String, Team> teams) {
    List<ConfigSnapshot> parts = SnapshotWriter.write(entry, teams, SnapshotWriter.MAX_PART_CHARS);
    List<CompletableFuture<StoredValue>> writes = new ArrayList<>();
    for (ConfigSnapshot part : parts) {
      writes.add(platform.compareAndSwap(partKey(entry, part.part()), Json.write(part), 0));
    }
    CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0]))
        .thenCompose(written -> platform.get(HEAD))
        .thenCompose(head -> advance(head, new SnapshotHead(entry, parts.size())))
        .whenComplete(
            (written, failure) ->
                Logger.info(
                    "event=settings_snapshot entry={} parts={} written={}",
                    entry,
                    parts.size(),
                    failure == null));
  }

  private CompletableFuture<StoredValue> advance(StoredValue current, SnapshotHead head) {
    boolean newer =
        current == null || Json.read(current.value(), SnapshotHead.class).entry() < head.entry();
    return newer
        ? platform.compareAndSwap(HEAD, Json.write(head), current == null ? 0 : current.version())
        : CompletableFuture.completedFuture(null);
  }

  /** Reads the newest snapshot; the result is null if there is none. */
  CompletableFuture<Snapshot> read() {
    return platform.get(HEAD).thenCompose(this::readParts);
  }

  private CompletableFuture<Snapshot> readParts(StoredValue value) {
    if (value == null) {
      return CompletableFuture.completedFuture(null);
    }
    SnapshotHead head = Json.read(value.value(), SnapshotHead.class);
    List<CompletableFuture<StoredValue>> reads = new ArrayList<>();
    for (int i = 0; i < head.parts(); i++) {
      reads.add(platform.get(partKey(head.entry(), i)));
    }
    return CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
        .thenApply(done -> assemble(head, reads));
  }

  private static Snapshot assemble(SnapshotHead head, List<CompletableFuture<StoredValue>> reads) {
    SnapshotReader reader = new SnapshotReader();
    SortedMap<String, Team> teams = null;
    for (CompletableFuture<StoredValue> read : reads) {
      teams = reader.add(Json.read(read.join().value(), ConfigSnapshot.class));
    }
    return new Snapshot(head.entry(), teams);
  }

  private static String partKey(long entry, long part) {
    return PART_PREFIX + String.format("%012d", entry) + "/" + part;
  }
}
