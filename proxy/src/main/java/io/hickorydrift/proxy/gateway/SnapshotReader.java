package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads all items of the store, page by page. Pages are not a snapshot, so that the result has the
 * position of the first page: a watch from there repeats what changed between pages. Pages of two
 * eras are not joined.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SnapshotReader {
  private static final String ALL_KEYS = "";

  /** Receives the result. */
  interface Listener {
    /** Receives all items, as of {@code position} or later, requested at {@code requestNanos}. */
    void read(List<Item> items, long requestNanos, StorePosition position);

    /** Reports that a page could not be read. */
    void failed(Status status);
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Listener listener;
  private boolean reading;

  SnapshotReader(EventLoop loop, KeyValueStore store, Listener listener) {
    this.loop = loop;
    this.store = store;
    this.listener = listener;
  }

  /** Reads the items, unless a read is under way. */
  void read() {
    if (!reading) {
      reading = true;
      readPage("", new ArrayList<>(), loop.nowNanos(), null);
    }
  }

  private void readPage(String after, List<Item> items, long requestNanos, StorePosition first) {
    store.range(
        ALL_KEYS,
        after,
        result -> {
          if (result.status() != Status.OK) {
            reading = false;
            listener.failed(result.status());
            return;
          }
          if (first != null && first.era() != result.position().era()) {
            reading = false;
            read();
            return;
          }
          items.addAll(result.items());
          StorePosition position =
              first == null || first.isAfter(result.position()) ? result.position() : first;
          if (result.truncated() && !result.items().isEmpty()) {
            String last = result.items().get(result.items().size() - 1).key();
            readPage(last, items, requestNanos, position);
            return;
          }
          reading = false;
          listener.read(items, requestNanos, position);
        });
  }
}
