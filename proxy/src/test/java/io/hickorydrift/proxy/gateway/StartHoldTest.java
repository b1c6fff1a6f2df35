package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are held for too long, that go on before they can be served, and
 * that are held long after the start.
 */
class StartHoldTest {
  private static final long STEP_MS = 5;
  private static final long START_MS = 10_000;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final List<String> done = new ArrayList<>();
  private boolean loaded;
  private boolean servable;
  private final StartHold hold = new StartHold(loop, () -> loaded);

  private void runForMs(long ms) throws IOException {
    for (long elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      time.advanceMs(STEP_MS);
      loop.runOnce(1);
    }
  }

  private void request(String name) {
    hold.run(() -> servable, () -> done.add(name));
  }

  @Test
  void requestsGoOnOnceTheyCanBeServedAfterTheLoad() throws IOException {
    servable = true;
    request("first");
    runForMs(100);
    assertThat(done).isEmpty();
    loaded = true;
    servable = false;
    request("second");
    runForMs(100);
    assertThat(done).isEmpty();
    servable = true;
    runForMs(30);
    assertThat(done).containsExactly("first", "second");
    request("third");
    assertThat(done).hasSize(3);
    runForMs(2 * StartHold.MAX_HOLD_MS);
    assertThat(done).hasSize(3);
  }

  @Test
  void requestsGoOnAfterTheMaximumTimeAndOnlyOnce() throws IOException {
    request("first");
    runForMs(StartHold.MAX_HOLD_MS - 20);
    assertThat(done).isEmpty();
    runForMs(40);
    assertThat(done).containsExactly("first");
    loaded = true;
    servable = true;
    runForMs(100);
    assertThat(done).containsExactly("first");
  }

  @Test
  void errorOfOneRequestDoesNotEndTheOthers() throws IOException {
    hold.run(
        () -> servable,
        () -> {
          throw new IllegalStateException("expected");
        });
    request("second");
    loaded = true;
    servable = true;
    runForMs(30);
    assertThat(done).containsExactly("second");
  }

  @Test
  void nothingIsHeldLongAfterTheStart() throws IOException {
    runForMs(START_MS);
    request("first");
    assertThat(done).containsExactly("first");
  }
}
