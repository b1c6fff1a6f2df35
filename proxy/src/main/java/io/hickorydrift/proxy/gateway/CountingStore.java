package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.port.KeyValueStore;
import java.util.function.Consumer;

/**
 * Store client that counts the calls by kind.
 *
 * <p>Thread safety: that of the client it wraps.
 */
record CountingStore(KeyValueStore store, Metrics metrics) implements KeyValueStore {
  @Override
  public void get(String key, Consumer<ReadResult> onResult) {
    metrics.recordStoreCall("get");
    store.get(key, onResult);
  }

  @Override
  public void range(String prefix, String after, Consumer<ReadResult> onResult) {
    metrics.recordStoreCall("range");
    store.range(prefix, after, onResult);
  }

  @Override
  public void staleRange(String prefix, String after, Consumer<ReadResult> onResult) {
    metrics.recordStoreCall("stale_range");
    store.staleRange(prefix, after, onResult);
  }

  @Override
  public void watch(String prefix, long afterRevision, long waitMs, Consumer<ReadResult> onResult) {
    metrics.recordStoreCall("watch");
    store.watch(prefix, afterRevision, waitMs, onResult);
  }

  @Override
  public void write(Write write, Consumer<UpdateResult> onResult) {
    metrics.recordStoreCall("write");
    store.write(write, onResult);
  }

  @Override
  public void grantLease(long ttlMs, Consumer<UpdateResult> onResult) {
    metrics.recordStoreCall("grant_lease");
    store.grantLease(ttlMs, onResult);
  }

  @Override
  public void renewLease(long lease, Consumer<UpdateResult> onResult) {
    metrics.recordStoreCall("renew_lease");
    store.renewLease(lease, onResult);
  }

  @Override
  public void revokeLease(long lease, Consumer<UpdateResult> onResult) {
    metrics.recordStoreCall("revoke_lease");
    store.revokeLease(lease, onResult);
  }

  @Override
  public void setAddress(String address) {
    store.setAddress(address);
  }

  @Override
  public void closeIdleConnections() {
    store.closeIdleConnections();
  }
}
