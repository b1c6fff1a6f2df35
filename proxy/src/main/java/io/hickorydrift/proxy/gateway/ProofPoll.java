package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.ProofSchedule;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the proof that the declaration is current young, as {@link ProofSchedule} says: asks the
 * store whether the declaration has changed, at the instances that provide their peers with proofs,
 * and asks peers for their proofs.
 *
 * <p>Invariant: a poll proves nothing about a store of another era than the one whose contents are
 * applied. Thread safety: confined to the loop's thread.
 */
final class ProofPoll {
  private static final long ANSWER_AT_ONCE_MS = 1;
  // Clients give up a call after 600 ms or more; one that fails earlier was refused.
  private static final long MIN_TIMEOUT_NANOS = 500_000_000L;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String declarationKey;
  private final StoreSync sync;
  private final Declarations declarations;
  private final Peers peers;
  private boolean inFlight;
  private boolean timedOutBefore;
  private long polledNanos;
  private long pauseCount;

  ProofPoll(
      EventLoop loop,
      KeyValueStore store,
      String declarationKey,
      StoreSync sync,
      Declarations declarations,
      Peers peers) {
    this.loop = loop;
    this.store = store;
    this.declarationKey = declarationKey;
    this.sync = sync;
    this.declarations = declarations;
    this.peers = peers;
    loop.clock().onClockPause(() -> pauseCount++);
  }

  void start() {
    polledNanos = loop.nowNanos();
    loop.every(ProofSchedule.POLL_TICK_MS, this::pollIfDue);
    loop.every(
        ProofSchedule.ASK_INTERVAL_MS,
        () ->
            peers.requestProofs(
                ProofSchedule.ask(declarations.proofAgeMs(), declarations.proofLeftMs())));
  }

  private void pollIfDue() {
    long sinceMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - polledNanos);
    boolean due = ProofSchedule.isPollDue(declarations.proofAgeMs(), sinceMs);
    if (due && !inFlight && sync.isWatching() && peers.providesProofs()) {
      poll();
    }
  }

  private void poll() {
    inFlight = true;
    polledNanos = loop.nowNanos();
    long requestNanos = polledNanos;
    long pausesBefore = pauseCount;
    StorePosition applied = sync.position();
    store.watch(
        declarationKey,
        applied.revision(),
        ANSWER_AT_ONCE_MS,
        result -> {
          inFlight = false;
          // The age of a request from before a clock pause is unknown.
          if (pauseCount == pausesBefore) {
            onResult(result, applied, requestNanos);
          }
        });
  }

  private void onResult(ReadResult result, StorePosition applied, long requestNanos) {
    boolean answered = result.status() == Status.OK || result.status() == Status.HISTORY_LOST;
    if (!answered) {
      onFailure(result.status(), requestNanos);
      return;
    }
    timedOutBefore = false;
    if (result.status() == Status.HISTORY_LOST || !result.items().isEmpty()) {
      // The watch that waits should have told; if it has had no answer, its repetition will.
      sync.onDeclarationWritten(applied);
    } else if (result.position().era() == applied.era() && sync.position().era() == applied.era()) {
      sync.onPeerPosition(result.position());
      declarations.confirmByStoreAt(requestNanos);
    }
  }

  /** Repeats a poll that got no answer once; any other failure counts as one of the watch. */
  private void onFailure(Status status, long requestNanos) {
    boolean timedOut = loop.nowNanos() - requestNanos >= MIN_TIMEOUT_NANOS;
    if (timedOut && !timedOutBefore && sync.isWatching()) {
      timedOutBefore = true;
      poll();
    } else {
      timedOutBefore = false;
      sync.onPollFailed(status);
    }
  }
}
