package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a call to the store that failed is repeated. Load pattern: single calls of an
 * instance get no answer while the store works, also when the relays of its failure domain are
 * gone; and the store is away for all instances, which must not call it without pause.
 *
 * <p>Invariant: the first call of a series that is given up for lack of an answer is repeated at
 * once. Thread safety: confined to the loop's thread.
 */
final class StoreRetry {
  /** Pause before an instance that depends on its own calls repeats one. */
  static final long RETRY_MS = 250;

  // Clients give up a call 600 ms or more after the wait that it requests; a call that fails
  // earlier was refused, or its connection was closed, and the store may be away.
  private static final long MIN_TIMEOUT_MS = 500;
  // A relay finds the recovery of the store and passes it on; the others seldom need to.
  private static final long RELAYED_RETRY_MS = 2_000;

  private final EventLoop loop;
  private final FleetMembership fleet;
  private final Peers peers;
  private final String self;
  private boolean failedBefore;
  private long timeoutFromNanos;

  StoreRetry(EventLoop loop, FleetMembership fleet, Peers peers, String self) {
    this.loop = loop;
    this.fleet = fleet;
    this.peers = peers;
    this.self = self;
  }

  /** Records that a call begins whose answer may take {@code waitMs} as requested. */
  void onCall(long waitMs) {
    timeoutFromNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs + MIN_TIMEOUT_MS);
  }

  /** Ends a series of failures. */
  void reset() {
    failedBefore = false;
  }

  /**
   * Returns whether this instance is a candidate for the relay, on which others may rely, or could
   * learn from no candidate. The others of a failure domain need not find the store's recovery.
   */
  boolean dependsOnOwnCalls() {
    List<String> candidates = fleet.relayCandidates();
    return candidates.contains(self) || candidates.stream().noneMatch(peers::isUp);
  }

  /** Returns the time until the last call, which failed with {@code status}, is repeated. */
  long pauseMs(Status status, boolean loaded) {
    final boolean first = !failedBefore;
    failedBefore = true;
    boolean timedOut = status == Status.UNKNOWN && loop.nowNanos() - timeoutFromNanos >= 0;
    if (first && timedOut) {
      return 0;
    }
    return !loaded || dependsOnOwnCalls() ? RETRY_MS : RELAYED_RETRY_MS;
  }
}
