package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.port.KeyValueStore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Store that records its calls and leaves them pending until a test completes them, or completes
 * all of them at once if {@link #immediate} is set.
 */
final class RecordingStore implements KeyValueStore {
  /** A pending call. */
  record Call(String name, long lease, Consumer<UpdateResult> onResult) {}

  final List<Call> calls = new ArrayList<>();
  boolean immediate;
  long era;
  private long nextLease = 1;

  int count(String name) {
    return (int) calls.stream().filter(call -> call.name.equals(name)).count();
  }

  Call last(String name) {
    Call last = null;
    for (Call call : calls) {
      last = call.name.equals(name) ? call : last;
    }
    return last;
  }

  private void record(String name, long lease, long value, Consumer<UpdateResult> onResult) {
    calls.add(new Call(name, lease, onResult));
    if (immediate) {
      onResult.accept(new UpdateResult(Status.OK, value, era));
    }
  }

  @Override
  public void get(String key, Consumer<ReadResult> onResult) {}

  @Override
  public void range(String prefix, String after, Consumer<ReadResult> onResult) {}

  @Override
  public void staleRange(String prefix, String after, Consumer<ReadResult> onResult) {}

  @Override
  public void watch(
      String prefix, long afterRevision, long waitMs, Consumer<ReadResult> onResult) {}

  @Override
  public void write(Write write, Consumer<UpdateResult> onResult) {
    if (write.puts().isEmpty()) {
      record("delete", NO_LEASE, calls.size() + 1, onResult);
    } else {
      record("write", write.puts().get(0).lease(), calls.size() + 1, onResult);
    }
  }

  @Override
  public void grantLease(long ttlMs, Consumer<UpdateResult> onResult) {
    record("grant", NO_LEASE, nextLease++, onResult);
  }

  @Override
  public void renewLease(long lease, Consumer<UpdateResult> onResult) {
    record("renew", lease, lease, onResult);
  }

  @Override
  public void revokeLease(long lease, Consumer<UpdateResult> onResult) {
    record("revoke", lease, lease, onResult);
  }

  @Override
  public void setAddress(String address) {}

  @Override
  public void closeIdleConnections() {}
}
