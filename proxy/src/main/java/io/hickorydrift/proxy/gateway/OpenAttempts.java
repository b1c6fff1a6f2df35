package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.proxy.net.EventLoop;

/**
 * What failed attempts to open connections to one target rule out for a while.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OpenAttempts {
  private static final long OPEN_RETRY_DELAY_NANOS = 150_000_000L;
  private static final int UNREACHABLE_AFTER_FAILURES = 2;
  // A target drops the connections of a client that lost power after 3 s, and an instance that was
  // the home closes its connections within a few ticks.
  private static final long FULL_RETRY_DELAY_NANOS = 250_000_000L;

  private final EventLoop loop;
  private final TargetState target;
  private long nextOpenNanos = Long.MIN_VALUE;
  private long fullUntilNanos = Long.MIN_VALUE;
  private int failures;

  OpenAttempts(EventLoop loop, TargetState target) {
    this.loop = loop;
    this.target = target;
  }

  /** Returns whether the delay after the last failure is over. */
  boolean mayOpen() {
    return isPast(nextOpenNanos);
  }

  /** Returns whether the target refused a connection beyond its limit within the retry delay. */
  boolean isFull() {
    return !isPast(fullUntilNanos);
  }

  private boolean isPast(long nanos) {
    return nanos == Long.MIN_VALUE || nanos - loop.nowNanos() <= 0;
  }

  /** Returns whether the last attempts failed, other than for the target's limit. */
  boolean haveFailed() {
    return failures >= UNREACHABLE_AFTER_FAILURES;
  }

  void succeeded() {
    failures = 0;
  }

  /** Notes what the failure rules out, so that the next request does not have to find it again. */
  void failed(FailureCode code) {
    long nowNanos = loop.nowNanos();
    if (code == FailureCode.MISROUTED) {
      target.ruleOut();
    } else if (code == FailureCode.CONNECTION_LIMIT) {
      fullUntilNanos = nowNanos + FULL_RETRY_DELAY_NANOS;
    } else {
      failures++;
      nextOpenNanos = nowNanos + OPEN_RETRY_DELAY_NANOS;
    }
    target.avoidUntil(nowNanos + OPEN_RETRY_DELAY_NANOS);
  }
}
