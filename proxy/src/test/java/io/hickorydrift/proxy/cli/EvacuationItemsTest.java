package io.hickorydrift.proxy.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
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
  private final List<String> calls = new ArrayList<>();
  private int unansweredReads;

  /** Returns a store that answers each write with {@code status}, or not before its timeout. */
  private EvacuationItems itemsOfStore(Status status) {
    KeyValueStore store =
        (KeyValueStore)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (self, method, arguments) -> {
                  answer(method.getName(), status, arguments);
                  return null;
                });
    return new EvacuationItems(loop, store, PREFIX);
  }

  @SuppressWarnings("unchecked")
  private void answer(String call, Status status, Object[] arguments) {
    calls.add(call);
    if (call.equals("range")) {
      Status read = unansweredReads-- > 0 ? Status.UNKNOWN : Status.OK;
      Consumer<ReadResult> onRead = (Consumer<ReadResult>) arguments[2];
      loop.post(() -> onRead.accept(ReadResult.empty(read, KeyValueStore.NO_ERA)));
      return;
    }
    write(status, (Consumer<UpdateResult>) arguments[1]);
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

  /**
   * Guards against a write whose outcome is unknown because the process is still loading code when
   * its first calls time out.
   */
  @Test
  void writeFollowsAnAnsweredRead() throws IOException {
    unansweredReads = 2;
    itemsOfStore(Status.OK).evacuate("zone-1");
    assertThat(calls).containsExactly("range", "range", "range", "write");
  }

  /** Guards against a command that never writes because the store answers no reads. */
  @Test
  void writeIsTriedAfterThreeUnansweredReads() throws IOException {
    unansweredReads = Integer.MAX_VALUE;
    itemsOfStore(Status.OK).evacuate("zone-1");
    assertThat(calls).containsExactly("range", "range", "range", "write");
  }
}
