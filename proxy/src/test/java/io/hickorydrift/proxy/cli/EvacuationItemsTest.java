package io.hickorydrift.proxy.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the calls of the operator's command for evacuations without a store. */
class EvacuationItemsTest {
  private static final String PREFIX = "op/evacuate/";
  private static final long STARTUP_MS = 3_000;
  private static final long TIMEOUT_MS = 1_000;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final List<Long> callNanos = new ArrayList<>();

  /** Returns a store that answers each write with {@code status}, or not before its timeout. */
  private EvacuationItems itemsOfStore(Status status) {
    KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (self, method, arguments) -> {
                  @SuppressWarnings("unchecked")
                  Consumer<UpdateResult> onResult = (Consumer<UpdateResult>) arguments[1];
                  write(status, onResult);
                  return null;
                });
    return new EvacuationItems(loop, store, PREFIX);
  }

  private void write(Status status, Consumer<UpdateResult> onResult) {
    callNanos.add(loop.nowNanos());
    loop.after(
        TIMEOUT_MS,
        () -> onResult.accept(new UpdateResult(Status.UNKNOWN, 0, KeyValueStore.NO_ERA)));
    loop.post(() -> onResult.accept(new UpdateResult(status, 1, KeyValueStore.NO_ERA)));
  }

  /**
   * Guards against an outcome that is reported as unknown although the store has answered in time:
   * the timeout of a call counted from the last iteration of the loop, which on a busy host is long
   * past when a command makes its first call.
   */
  @Test
  void timeoutCountsFromTheCall() throws IOException {
    EvacuationItems items = itemsOfStore(Status.OK);
    time.advanceMs(STARTUP_MS);
    assertThat(items.evacuate("zone-1")).isEqualTo(1);
    assertThat(callNanos).containsExactly(STARTUP_MS * 1_000_000L);
  }

  /** Guards against a refusal that is reported as unknown, after which an operator would repeat. */
  @Test
  void refusedWriteIsReportedAsNotRun() {
    assertThatThrownBy(() -> itemsOfStore(Status.REFUSED).evacuate("zone-1"))
        .isInstanceOfSatisfying(
            ProxyException.class,
            e -> assertThat(e.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE));
  }

  /** Guards against a missing answer that is reported as not run. */
  @Test
  void missingAnswerIsReportedAsUnknown() {
    assertThatThrownBy(() -> itemsOfStore(Status.UNKNOWN).withdraw("zone-1"))
        .isInstanceOfSatisfying(
            ProxyException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.SETTINGS_UNKNOWN));
  }
}
