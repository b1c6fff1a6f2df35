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
  // After a power loss of all instances, their callers wait for connections, which targets drop at
  // a time that is not known, about 2 s after power is back. Attempts follow each other faster.
  private static final long AFTER_START_NANOS = 4_000_000_000L;
  private static final long FULL_RETRY_AFTER_START_NANOS = 60_000_000L;

  private final EventLoop loop;
  private final TargetState target;
  private final long createdNanos;
  private long nextOpenNanos = Long.MIN_VALUE;
  private long fullUntilNanos = Long.MIN_VALUE;
  private int failures;

  OpenAttempts(EventLoop loop, TargetState target) {
    this.loop = loop;
    createdNanos = loop.nowNanos();
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
      boolean afterStart = nowNanos - createdNanos < AFTER_START_NANOS;
      fullUntilNanos =
          nowNanos + (afterStart ? FULL_RETRY_AFTER_START_NANOS : FULL_RETRY_DELAY_NANOS);
    } else {
      failures++;
      nextOpenNanos = nowNanos + OPEN_RETRY_DELAY_NANOS;
    }
    target.avoidUntil(nowNanos + OPEN_RETRY_DELAY_NANOS);
  }
}
