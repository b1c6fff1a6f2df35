package io.hickorydrift.core.flow;

import java.util.concurrent.TimeUnit;

/**
 * Delay before a flow retries.
 *
 * <p>Thread safety: stateless.
 */
final class RetryDelay {
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private RetryDelay() {}

  /** Returns a wait of the retry delay, which ends at the deadline at the latest. */
  static Step.Wait waitStep(long deadlineNanos, long nowNanos) {
    long retryNanos = nowNanos + RETRY_DELAY_NANOS;
    return new Step.Wait(retryNanos - deadlineNanos < 0 ? retryNanos : deadlineNanos);
  }
}
