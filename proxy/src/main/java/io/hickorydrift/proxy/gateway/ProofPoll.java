package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.ReadResult;
import io.hickorydrift.proxy.port.KeyValueStore.Status;

/**
 * Keeps the proof that the declaration is current young, so that keys outlast a failure of the
 * store for as long as possible. Load pattern: the store gives no usable answer for 3 s. The watch
 * of the store proves less, because a proof dates from its request and the answer comes at the end
 * of its wait.
 *
 * <p>The instances that provide their peers with proofs ask the store often whether the declaration
 * has changed, and learn from it too that the store does not answer. Each instance whose proof is
 * old asks its peers more often for theirs, so that those of the first answer after a failure
 * arrive in time.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class ProofPoll {
  // With a heartbeat of 400 ms on the way to the other instances of the failure domain, a proof is
  // at most about 1.2 s old, so that keys outlast the store by 3.4 s. Each call counts: two
  // instances poll, and a calm fleet makes hardly more calls than for its leases.
  private static final long POLL_INTERVAL_MS = 750;
  private static final long ANSWER_AT_ONCE_MS = 1;
  private static final long REQUEST_INTERVAL_MS = 100;
  // Well above the age in ordinary operation, and early enough for several attempts.
  private static final long OLD_PROOF_MS = 3_000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String declarationKey;
  private final StoreSync sync;
  private final Declarations declarations;
  private final Peers peers;
  private boolean inFlight;
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
    loop.every(POLL_INTERVAL_MS, this::poll);
    loop.every(REQUEST_INTERVAL_MS, this::requestFromPeers);
  }

  private void poll() {
    if (inFlight || !sync.isWatching() || !peers.providesProofs()) {
      return;
    }
    inFlight = true;
    long requestNanos = loop.nowNanos();
    long pausesBefore = pauseCount;
    StorePosition applied = sync.position();
    store.watch(
        declarationKey,
        applied.revision(),
        ANSWER_AT_ONCE_MS,
        result -> {
          inFlight = false;
          if (result.status() == Status.OK) {
            sync.onPeerPosition(result.position());
          } else if (result.status() != Status.HISTORY_LOST) {
            sync.onPollFailed(result.status());
          }
          // The age of a request from before a clock pause is unknown.
          if (pauseCount == pausesBefore && isUnchanged(result, applied)) {
            declarations.confirmByStoreAt(requestNanos);
          }
        });
  }

  /** Returns whether the store has no declaration that was written after {@code applied}. */
  private boolean isUnchanged(ReadResult result, StorePosition applied) {
    return result.status() == Status.OK
        && result.items().isEmpty()
        && result.position().era() == applied.era()
        && sync.position().era() == applied.era();
  }

  private void requestFromPeers() {
    long ageMs = declarations.proofAgeMs();
    if (ageMs > OLD_PROOF_MS && declarations.proofLeftMs() > 0) {
      peers.requestProofs();
    }
  }
}
