package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.TargetOp;
import java.util.concurrent.TimeUnit;

/**
 * Timeout of one exchange, as a fraction of the time left until the deadline. The connection is
 * closed after the timeout, so that an unresponsive connection leaves time for a retry.
 *
 * <p>Thread safety: stateless.
 */
public final class AttemptTimeout {
  private static final long MIN_READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MIN_WRITE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int READ_TIME_LEFT_DIVISOR = 4;
  private static final int WRITE_TIME_LEFT_DIVISOR = 2;

  private AttemptTimeout() {}

  /**
   * Returns the timeout of an exchange of kind {@code op} with {@code leftNanos} until the
   * deadline.
   */
  public static long timeoutNanos(TargetOp op, long leftNanos) {
    switch (op) {
      case READ:
        return Math.min(
            leftNanos, Math.max(MIN_READ_TIMEOUT_NANOS, leftNanos / READ_TIME_LEFT_DIVISOR));
      case WRITE:
      case COMMIT:
      case BEGIN:
        return Math.min(
            leftNanos, Math.max(MIN_WRITE_TIMEOUT_NANOS, leftNanos / WRITE_TIME_LEFT_DIVISOR));
      default:
        return leftNanos;
    }
  }
}
