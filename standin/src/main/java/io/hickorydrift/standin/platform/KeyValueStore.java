package io.hickorydrift.standin.platform;

import io.hickorydrift.core.message.StoredValue;
import java.util.HashMap;
import java.util.Map;

/**
 * In-memory store of versioned values with compare-and-swap, leases and watches.
 *
 * <p>Invariant: a key's version increases with each change.
 *
 * <p>Thread safety: safe; guarded by its own monitor.
 */
final class KeyValueStore {
  private static final long NANOS_PER_MS = 1_000_000L;

  private final Map<String, StoredValue> values = new HashMap<>();
  private final Map<String, Long> leaseExpiryNanos = new HashMap<>();
  private long lastVersion;

  /** Returns the value of {@code key}, or null if there is none. */
  synchronized StoredValue get(String key) {
    removeExpired();
    return values.get(key);
  }

  /**
   * Waits until the version of {@code key} is above {@code afterVersion} or {@code waitMs} have
   * elapsed. Returns the current value, or null if there is none.
   */
  synchronized StoredValue watch(String key, long afterVersion, long waitMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
    while (true) {
      removeExpired();
      StoredValue value = values.get(key);
      long remainingMs = (endNanos - System.nanoTime()) / NANOS_PER_MS;
      if (remainingMs <= 0 || (value != null && value.version() > afterVersion)) {
        return value;
      }
      wait(remainingMs);
    }
  }

  /**
   * Writes {@code value} if the key is at {@code version}, where 0 means absent. Returns the new
   * value, or null on a conflict.
   */
  synchronized StoredValue compareAndSwap(String key, String value, long version, long leaseMs) {
    removeExpired();
    StoredValue current = values.get(key);
    if ((current == null ? 0 : current.version()) != version) {
      return null;
    }
    StoredValue written = new StoredValue(key, value, ++lastVersion);
    values.put(key, written);
    leaseExpiryNanos.remove(key);
    if (leaseMs > 0) {
      leaseExpiryNanos.put(key, System.nanoTime() + leaseMs * NANOS_PER_MS);
    }
    notifyAll();
    return written;
  }

  private void removeExpired() {
    long nowNanos = System.nanoTime();
    leaseExpiryNanos
        .entrySet()
        .removeIf(
            lease -> {
              boolean expired = lease.getValue() - nowNanos <= 0;
              if (expired) {
                values.remove(lease.getKey());
              }
              return expired;
            });
  }
}
