package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which answers of the store confirm keys after a restore. */
class DeclarationsEraTest {
  private static final long KEY_VALIDITY_MS = 4_600;
  private static final long STEP_MS = 100;
  private static final long RESTORE_MS = 10_000;

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final Declarations declarations = new Declarations(loop, KEY_VALIDITY_MS);

  private void showInStore(long version) {
    declarations.onStoreVersion(version);
    accept(version);
  }

  private void accept(long version) {
    declarations.accept(
        new Declaration(version, Map.of(), Map.of(), Map.of(), Map.of(), 0), new byte[0]);
  }

  private boolean confirmedAfter(long ms) throws IOException {
    for (long elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      time.advanceMs(Math.min(STEP_MS, ms - elapsed));
      loop.runOnce(0);
    }
    declarations.confirmByStoreAt(loop.nowNanos());
    return declarations.keysConfirmedCurrent();
  }

  @BeforeEach
  void confirmVersion7() {
    showInStore(6);
    showInStore(7);
    declarations.confirmByStoreAt(loop.nowNanos());
  }

  @Test
  void copyOfAnOlderVersionConfirmsNothing() throws IOException {
    declarations.onNewEra();
    showInStore(6);
    assertThat(declarations.current().version()).isEqualTo(7);
    assertThat(confirmedAfter(KEY_VALIDITY_MS - 1)).as("by the last proof").isTrue();
    assertThat(confirmedAfter(1)).as("after the last proof").isFalse();
    showInStore(7);
    assertThat(confirmedAfter(0)).as("after the operator's write").isTrue();
  }

  @Test
  void versionOfPeerIsWaitedFor() throws IOException {
    declarations.onNewEra();
    declarations.onKnownVersion(9);
    showInStore(7);
    assertThat(confirmedAfter(KEY_VALIDITY_MS)).isFalse();
    showInStore(9);
    assertThat(confirmedAfter(0)).isTrue();
  }

  @Test
  void nothingIsConfirmedBeforeTheStoreHasShownItsVersion() throws IOException {
    declarations.onNewEra();
    assertThat(declarations.needsStoreVersion()).isTrue();
    assertThat(confirmedAfter(KEY_VALIDITY_MS)).isFalse();
    showInStore(7);
    assertThat(declarations.needsStoreVersion()).isFalse();
    assertThat(confirmedAfter(0)).isTrue();
  }

  @Test
  void unreadableVersionThatTheRestoreLostNoLongerCounts() throws IOException {
    declarations.markUnreadable();
    declarations.onNewEra();
    showInStore(6);
    assertThat(confirmedAfter(0)).isFalse();
    showInStore(7);
    assertThat(confirmedAfter(0)).isTrue();
  }

  @Test
  void versionThatArrivedWhileFollowingRelayIsReadFromTheStore() throws IOException {
    declarations.onNewEra();
    showInStore(7);
    declarations.onStoreUnwatched();
    accept(8);
    assertThat(declarations.needsStoreVersion()).isTrue();
    showInStore(8);
    assertThat(confirmedAfter(KEY_VALIDITY_MS)).isTrue();
  }

  @Test
  void restoreIsOverOnceTheStoreHasCaughtUp() throws IOException {
    declarations.onNewEra();
    showInStore(6);
    confirmedAfter(RESTORE_MS);
    declarations.onStoreUnwatched();
    assertThat(declarations.needsStoreVersion()).as("not caught up").isTrue();
    showInStore(7);
    confirmedAfter(0);
    declarations.onStoreUnwatched();
    assertThat(declarations.needsStoreVersion()).as("caught up").isFalse();
    accept(8);
    assertThat(confirmedAfter(KEY_VALIDITY_MS)).isTrue();
  }

  @Test
  void withoutRestoreAnAnswerConfirms() throws IOException {
    declarations.onKnownVersion(9);
    assertThat(confirmedAfter(KEY_VALIDITY_MS)).isTrue();
  }

  /** Guards against an instance that starts and takes an older copy of the store for current. */
  @Test
  void afterTheStartAnswersOfTheStoreCountOnceTheStartIsConfirmed() throws IOException {
    Declarations started = new Declarations(loop, KEY_VALIDITY_MS);
    started.onStart();
    started.onStoreVersion(7);
    started.confirmByStoreAt(loop.nowNanos());
    assertThat(started.keysConfirmedCurrent()).as("not confirmed").isFalse();
    started.startConfirmation().update(true, loop.nowNanos());
    started.onStartConfirmed();
    assertThat(started.keysConfirmedCurrent()).as("no peer").isTrue();
  }

  @Test
  void afterTheStartTheNewestVersionOfPeersIsWaitedFor() throws IOException {
    Declarations started = new Declarations(loop, KEY_VALIDITY_MS);
    started.onStart();
    started.onStoreVersion(7);
    started.confirmByStoreAt(loop.nowNanos());
    started.onKnownVersion(9);
    started.startConfirmation().update(false, loop.nowNanos() + RESTORE_MS * 1_000_000);
    started.onStartConfirmed();
    assertThat(started.keysConfirmedCurrent()).as("older than known").isFalse();
    started.onStoreVersion(9);
    started.confirmByStoreAt(loop.nowNanos());
    assertThat(started.keysConfirmedCurrent()).as("as known").isTrue();
  }

  @Test
  void proofOfPeerConfirmsTheStartOnlyWhileItIsYoung() throws IOException {
    Declarations started = new Declarations(loop, KEY_VALIDITY_MS);
    started.onStart();
    started.confirmByPeerAt(loop.nowNanos() - KEY_VALIDITY_MS * 1_000_000);
    assertThat(started.isStartAwaited()).as("too old").isTrue();
    started.confirmByPeerAt(loop.nowNanos());
    assertThat(started.isStartAwaited()).as("young").isFalse();
    assertThat(started.needsStoreVersion()).isTrue();
    time.advanceMs(RESTORE_MS);
    loop.runOnce(0);
    started.confirmByPeerAt(loop.nowNanos());
    assertThat(started.needsStoreVersion()).as("a restore before the start is over").isFalse();
  }
}
