package io.hickorydrift.core.flow;

import java.util.concurrent.TimeUnit;

/**
 * The wait before a flow tries again.
 *
 * <p>Thread safety: stateless.
 */
final class RetryDelay {
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private RetryDelay() {}

  /** Returns a wait that ends at the deadline at the latest. */
  static Step.Wait waitStep(long deadlineNanos, long nowNanos) {
    long retryNanos = nowNanos + RETRY_NANOS;
    return new Step.Wait(retryNanos - deadlineNanos < 0 ? retryNanos : deadlineNanos);
  }
}
