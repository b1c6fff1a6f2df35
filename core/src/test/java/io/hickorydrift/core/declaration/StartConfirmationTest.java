package io.hickorydrift.core.declaration;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.StartConfirmation.Peer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that trusts an older copy of the store at its start, and against
 * instances that wait for one another after all have lost power.
 */
class StartConfirmationTest {
  private static final long START_NANOS = -5;
  private static final long ANSWER_MS = 500;

  private final StartConfirmation start = new StartConfirmation(START_NANOS);

  private static long atMs(long ms) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void instanceWithoutPeersWaitsForNothing() {
    assertThat(start.isAwaited()).isTrue();
    start.update(true, atMs(0));
    assertThat(start.isAwaited()).isFalse();
  }

  @Test
  void proofOfPeerEndsTheWait() {
    start.update(false, atMs(0));
    start.onAnswers(List.of(Peer.RUNNING), atMs(0));
    assertThat(start.isAwaited()).isTrue();
    start.onPeerProof();
    assertThat(start.isAwaited()).isFalse();
  }

  @Test
  void silentPeersAreWaitedForTenSeconds() {
    for (long ms = 0; ms < StartConfirmation.MAX_WAIT_MS; ms += 100) {
      start.update(false, atMs(ms));
      start.onAnswers(List.of(Peer.SILENT, Peer.SILENT), atMs(ms));
      assertThat(start.isAwaited()).as("after %d ms", ms).isTrue();
    }
    start.update(false, atMs(StartConfirmation.MAX_WAIT_MS));
    assertThat(start.isAwaited()).isFalse();
  }

  @Test
  void peersThatHaveAllStartedAreNotWaitedFor() {
    start.onAnswers(List.of(Peer.STARTED, Peer.STARTED), atMs(0));
    assertThat(start.isAwaited()).isFalse();
  }

  @Test
  void fewSilentPeersArePassedOverAfterTheTimeForAnswers() {
    List<Peer> peers = List.of(Peer.STARTED, Peer.STARTED, Peer.SILENT);
    start.onAnswers(peers, atMs(1_000));
    start.onAnswers(peers, atMs(1_000 + ANSWER_MS - 1));
    assertThat(start.isAwaited()).isTrue();
    start.onAnswers(peers, atMs(1_000 + ANSWER_MS));
    assertThat(start.isAwaited()).isFalse();
  }

  @Property(tries = 200, seed = "14")
  void oneRunningPeerOrManySilentOnesAreWaitedFor(
      @ForAll @IntRange(min = 0, max = 9) int started,
      @ForAll @IntRange(min = 0, max = 9) int silent,
      @ForAll @IntRange(min = 0, max = 3) int running,
      @ForAll @IntRange(min = 0, max = 9_999) int ms) {
    List<Peer> peers = new ArrayList<>(Collections.nCopies(started, Peer.STARTED));
    peers.addAll(Collections.nCopies(silent, Peer.SILENT));
    peers.addAll(Collections.nCopies(running, Peer.RUNNING));
    StartConfirmation each = new StartConfirmation(START_NANOS);
    each.onAnswers(peers, atMs(0));
    each.update(false, atMs(ms));
    each.onAnswers(peers, atMs(ms));
    if (running > 0 || silent > 0 && silent >= started) {
      assertThat(each.isAwaited()).isTrue();
    }
  }
}
