package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.KeyValueStore.Put;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import io.hickorydrift.proxy.port.KeyValueStore.Write;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Evacuation items in the platform's store. Each call blocks until the store has answered or its
 * time is over.
 *
 * <p>Thread safety: confined to one thread, which must not run the loop otherwise.
 */
final class EvacuationItems {
  private static final String VALUE = "{}";
  // On a busy host, the first two calls of a process that had just started took over 1 s each, the
  // timeout of a call. The third took less.
  private static final int MAX_READS_BEFORE_WRITE = 3;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String prefix;

  /** Creates access to the items whose keys are {@code prefix} followed by a failure domain. */
  EvacuationItems(EventLoop loop, KeyValueStore store, String prefix) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
  }

  /** Returns the failure domains that are evacuated. */
  List<String> list() throws IOException {
    List<String> domains = new ArrayList<>();
    String after = "";
    ReadResult page;
    do {
      String last = after;
      page = await(onResult -> store.range(prefix, last, onResult));
      if (page.status() != Status.OK) {
        throw new ProxyException(
            ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE.meaning());
      }
      for (Item item : page.items()) {
        after = item.key();
        String domain = after.substring(prefix.length());
        if (Evacuations.isValidName(domain)) {
          domains.add(domain);
        }
      }
    } while (page.truncated() && !page.items().isEmpty());
    return domains;
  }

  /** Writes the item of {@code domain}, and returns the revision of the write. */
  long evacuate(String domain) throws IOException {
    byte[] value = VALUE.getBytes(StandardCharsets.UTF_8);
    Put put = new Put(prefix + domain, value, KeyValueStore.NO_LEASE);
    return write(
        new Write(List.of(), List.of(put), List.of()),
        "write the key " + prefix + domain + " with the value " + VALUE);
  }

  /** Removes the item of {@code domain}, and returns the revision of the write. */
  long withdraw(String domain) throws IOException {
    return write(
        new Write(List.of(), List.of(), List.of(prefix + domain)),
        "delete the key " + prefix + domain);
  }

  /**
   * Reads until the store answers, so that a write is not the first call of the process. A read
   * that takes too long because code is still being loaded can be repeated; after such a write its
   * outcome would be unknown.
   */
  private void readBeforeWrite() throws IOException {
    Status status = Status.UNKNOWN;
    for (int i = 0; i < MAX_READS_BEFORE_WRITE && status == Status.UNKNOWN; i++) {
      status = this.<ReadResult>await(onResult -> store.range(prefix, "", onResult)).status();
    }
  }

  private long write(Write write, String instruction) throws IOException {
    readBeforeWrite();
    UpdateResult result = await(onResult -> store.write(write, onResult));
    switch (result.status()) {
      case OK:
        return result.value();
      case FORBIDDEN:
        throw new ProxyException(
            ResultCode.STORE_FORBIDDEN,
            ResultCode.STORE_FORBIDDEN.meaning()
                + "; the operator has to "
                + instruction
                + " with the platform's own access to the store");
      case UNKNOWN:
        throw new ProxyException(
            ResultCode.SETTINGS_UNKNOWN, ResultCode.SETTINGS_UNKNOWN.meaning());
      default:
        throw new ProxyException(
            ResultCode.STORE_UNAVAILABLE, "the platform's store refused the write");
    }
  }

  private <T> T await(Consumer<Consumer<T>> call) throws IOException {
    AtomicReference<T> result = new AtomicReference<>();
    // On the loop, whose time is current then; it has stood still since the last call.
    loop.post(() -> call.accept(result::set));
    loop.runWhile(() -> result.get() == null);
    return result.get();
  }
}
