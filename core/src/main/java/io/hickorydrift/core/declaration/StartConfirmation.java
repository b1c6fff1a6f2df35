package io.hickorydrift.core.declaration;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Decides from when on an instance that has started relies on what the store shows as the newest
 * declaration.
 *
 * <p>Load pattern: an instance starts just as the store returns from an older copy, which shows a
 * key that has been withdrawn since. It has no earlier knowledge, so that it cannot tell the copy
 * from the present, but the instances that ran on can. And all instances lose power and start at
 * the same time: then none has earlier knowledge, and waiting for one would only end service.
 *
 * <p>Invariant: while other members are registered, it relies on the store only after a peer has
 * confirmed the version, after all peers that answer have said that they have just started too, or
 * {@link #MAX_WAIT_MS} after the start. Thread safety: confined to one thread.
 */
public final class StartConfirmation {
  /** Time after the start from which on the store is relied on in any case. */
  public static final long MAX_WAIT_MS = 10_000;

  // A running peer that is short of processor time answers a ping within 400 ms.
  private static final long ANSWER_MS = 500;

  /** What a peer says about its knowledge. */
  public enum Peer {
    /** It has not answered. */
    SILENT,
    /** It has started too and has no confirmation yet. */
    STARTED,
    /** It has earlier knowledge. */
    RUNNING
  }

  private final long startNanos;
  private boolean asked;
  private long askedNanos;
  private boolean awaited = true;

  /** Creates the decision of an instance that starts at {@code nowNanos}. */
  public StartConfirmation(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Returns whether what the store shows has to be confirmed first. */
  public boolean isAwaited() {
    return awaited;
  }

  /** Records that a peer has confirmed the version in force. */
  public void onPeerProof() {
    awaited = false;
  }

  /** Ends the wait if no peer is registered or the longest wait is over. */
  public void update(boolean alone, long nowNanos) {
    if (alone || elapsedMs(startNanos, nowNanos) >= MAX_WAIT_MS) {
      awaited = false;
    }
  }

  /**
   * Ends the wait if none of {@code peers}, which this instance has asked since the first call of
   * this method, has earlier knowledge. Peers that do not answer may be starting or cut off; they
   * are passed over after some time if they are fewer than those that have started.
   */
  public void onAnswers(Collection<Peer> peers, long nowNanos) {
    if (!asked) {
      asked = true;
      askedNanos = nowNanos;
    }
    long started = peers.stream().filter(peer -> peer == Peer.STARTED).count();
    long silent = peers.stream().filter(peer -> peer == Peer.SILENT).count();
    boolean allAnswered = started == peers.size();
    boolean mostAnswered = started + silent == peers.size() && started > silent;
    if (allAnswered || mostAnswered && elapsedMs(askedNanos, nowNanos) >= ANSWER_MS) {
      awaited = false;
    }
  }

  private static long elapsedMs(long sinceNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
  }
}
