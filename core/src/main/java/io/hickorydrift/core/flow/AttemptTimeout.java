package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.TargetOp;
import java.util.concurrent.TimeUnit;

/**
 * How much of the time left one exchange may take before its connection is retired, so that a
 * connection that has gone silent leaves time for another try.
 *
 * <p>Thread safety: stateless.
 */
public final class AttemptTimeout {
  private static final long SHORTEST_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SHORTEST_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int READ_PART = 4;
  private static final int WRITE_PART = 2;

  private AttemptTimeout() {}

  /** Returns how long an exchange of kind {@code op} may take of {@code leftNanos}. */
  public static long timeoutNanos(TargetOp op, long leftNanos) {
    switch (op) {
      case READ:
        return Math.min(leftNanos, Math.max(SHORTEST_READ_NANOS, leftNanos / READ_PART));
      case WRITE:
      case COMMIT:
      case BEGIN:
        return Math.min(leftNanos, Math.max(SHORTEST_WRITE_NANOS, leftNanos / WRITE_PART));
      default:
        return leftNanos;
    }
  }
}
