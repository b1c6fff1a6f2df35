package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.Position;
import java.util.List;

/**
 * What a read asks for.
 *
 * <p>Thread safety: immutable as long as its parameters are.
 *
 * @param organisation organisation that the read runs for
 * @param sql the statement
 * @param params values of its parameters
 * @param sessionPosition position that the answer has to reach
 * @param maxAgeMs accepted age of the data when the request arrived, -1 for any
 * @param arrivedNanos when the request arrived
 * @param deadlineNanos when the caller stops waiting
 */
public record ReadRequest(
    String organisation,
    String sql,
    List<Object> params,
    Position sessionPosition,
    long maxAgeMs,
    long arrivedNanos,
    long deadlineNanos) {
  private static final long NANOS_PER_MS = 1_000_000L;

  /** Returns whether data of the proven age {@code ageNanos}, -1 for unproven, is fresh enough. */
  public boolean acceptsAge(long ageNanos, long nowNanos) {
    if (maxAgeMs < 0) {
      return true;
    }
    long dataNanos = nowNanos - ageNanos;
    return ageNanos >= 0 && dataNanos - (arrivedNanos - maxAgeMs * NANOS_PER_MS) >= 0;
  }
}
