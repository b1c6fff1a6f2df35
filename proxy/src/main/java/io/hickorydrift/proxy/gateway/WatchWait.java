package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Chooses how long watches of the store wait for changes.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class WatchWait {
  // The result of a watch proves that keys are current, so it has to arrive often.
  private static final long SHORT_MS = 900;
  // Used while other relays provide such proofs. A change still ends the watch at once.
  private static final long LONG_MS = 8_000;
  private static final long LONG_MAX_PROOF_AGE_MS = 2_000;
  // While the store is unreachable, short watches detect its recovery early.
  private static final long UNREACHABLE_MS = 1;
  // A watch that was just started is not replaced.
  private static final long RECENT_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final Declarations declarations;
  private final Peers peers;
  private long startedNanos;
  private long waitMs;

  WatchWait(EventLoop loop, Declarations declarations, Peers peers) {
    this.loop = loop;
    this.declarations = declarations;
    this.peers = peers;
  }

  /** Returns the wait of a watch that starts now. */
  long start(boolean reachable) {
    startedNanos = loop.nowNanos();
    waitMs = reachable ? reachableMs() : UNREACHABLE_MS;
    return waitMs;
  }

  private long reachableMs() {
    boolean peersProvideProofs = declarations.proofAgeMs() < LONG_MAX_PROOF_AGE_MS;
    return peers.providesProofs() || !peersProvideProofs ? SHORT_MS : LONG_MS;
  }

  /** Returns whether the wait of the watch is not over at {@code nowNanos}. */
  boolean endedEarly(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos) < waitMs;
  }

  /** Returns whether a short watch should replace a long one: peers no longer provide proofs. */
  boolean isTooLong() {
    boolean recent = loop.nowNanos() - startedNanos < RECENT_NANOS;
    return waitMs == LONG_MS && !recent && declarations.proofAgeMs() > LONG_MAX_PROOF_AGE_MS;
  }
}
