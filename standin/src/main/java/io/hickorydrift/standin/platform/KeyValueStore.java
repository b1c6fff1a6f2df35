package io.hickorydrift.standin.platform;

import io.hickorydrift.core.message.StoredValue;
import java.util.HashMap;
import java.util.Map;

/**
 * Versioned values with compare-and-swap, leases and watches, in memory.
 *
 * <p>Invariant: a key's version rises with each change. Thread safety: safe; guarded by its own
 * monitor.
 */
final class KeyValueStore {
  private static final long NANOS_PER_MS = 1_000_000L;

  private final Map<String, StoredValue> values = new HashMap<>();
  private final Map<String, Long> leaseUntilNanos = new HashMap<>();
  private long lastVersion;

  /** Returns the value of {@code key}, or null. */
  synchronized StoredValue get(String key) {
    expire();
    return values.get(key);
  }

  /** Waits until the version of {@code key} is above {@code afterVersion}, or the time is up. */
  synchronized StoredValue watch(String key, long afterVersion, long waitMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
    while (true) {
      expire();
      StoredValue value = values.get(key);
      long leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS;
      if (leftMs <= 0 || (value != null && value.version() > afterVersion)) {
        return value;
      }
      wait(leftMs);
    }
  }

  /**
   * Writes {@code value} if the key is at {@code version}, 0 for absent; returns the new value, or
   * null on a conflict.
   */
  synchronized StoredValue compareAndSwap(String key, String value, long version, long leaseMs) {
    expire();
    StoredValue current = values.get(key);
    if ((current == null ? 0 : current.version()) != version) {
      return null;
    }
    StoredValue written = new StoredValue(key, value, ++lastVersion);
    values.put(key, written);
    leaseUntilNanos.remove(key);
    if (leaseMs > 0) {
      leaseUntilNanos.put(key, System.nanoTime() + leaseMs * NANOS_PER_MS);
    }
    notifyAll();
    return written;
  }

  private void expire() {
    long nowNanos = System.nanoTime();
    leaseUntilNanos
        .entrySet()
        .removeIf(
            lease -> {
              boolean over = lease.getValue() - nowNanos <= 0;
              if (over) {
                values.remove(lease.getKey());
              }
              return over;
            });
  }
}
