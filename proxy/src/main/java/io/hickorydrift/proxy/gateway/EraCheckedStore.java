package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.port.KeyValueStore;
import java.util.function.Consumer;

/**
 * Store client that checks the era of each answer. An answer that names none is taken to be of the
 * newest era known; one of an older era counts as a call without an answer.
 *
 * <p>Invariant: the listeners of a new era have run before the callback of the answer that names
 * it; no callback receives an answer of an older era. Thread safety: that of the client it wraps.
 */
record EraCheckedStore(KeyValueStore store, StoreEra era, StartSteps steps)
    implements KeyValueStore {
  @Override
  public void get(String key, Consumer<ReadResult> onResult) {
    store.get(key, result -> onResult.accept(check(result)));
  }

  @Override
  public void range(String prefix, String after, Consumer<ReadResult> onResult) {
    store.range(prefix, after, result -> onResult.accept(check(result)));
  }

  @Override
  public void staleRange(String prefix, String after, Consumer<ReadResult> onResult) {
    store.staleRange(prefix, after, result -> onResult.accept(check(result)));
  }

  @Override
  public void watch(String prefix, long afterRevision, long waitMs, Consumer<ReadResult> onResult) {
    store.watch(prefix, afterRevision, waitMs, result -> onResult.accept(check(result)));
  }

  @Override
  public void write(Write write, Consumer<UpdateResult> onResult) {
    store.write(write, result -> onResult.accept(check(result)));
  }

  @Override
  public void grantLease(long ttlMs, Consumer<UpdateResult> onResult) {
    store.grantLease(ttlMs, result -> onResult.accept(check(result)));
  }

  @Override
  public void renewLease(long lease, Consumer<UpdateResult> onResult) {
    store.renewLease(lease, result -> onResult.accept(check(result)));
  }

  @Override
  public void revokeLease(long lease, Consumer<UpdateResult> onResult) {
    store.revokeLease(lease, result -> onResult.accept(check(result)));
  }

  @Override
  public void setAddress(String address) {
    store.setAddress(address);
  }

  @Override
  public void closeIdleConnections() {
    store.closeIdleConnections();
  }

  private ReadResult check(ReadResult result) {
    long answered = result.position().era();
    if (isOutdated(result.status(), answered)) {
      return ReadResult.empty(Status.UNKNOWN, era.current());
    }
    StorePosition position = new StorePosition(era.current(), result.position().revision());
    return new ReadResult(result.status(), result.items(), result.truncated(), position);
  }

  private UpdateResult check(UpdateResult result) {
    if (isOutdated(result.status(), result.era())) {
      return new UpdateResult(Status.UNKNOWN, 0, era.current());
    }
    return new UpdateResult(result.status(), result.value(), era.current());
  }

  private boolean isOutdated(Status status, long answered) {
    if (status == Status.UNKNOWN) {
      return false;
    }
    steps.record(StartSteps.Step.STORE);
    era.observe(answered == NO_ERA ? era.current() : answered, StoreEra.Source.STORE);
    return answered != NO_ERA && answered < era.current();
  }
}
