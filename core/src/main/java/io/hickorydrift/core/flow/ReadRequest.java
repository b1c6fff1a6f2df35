package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.Position;
import java.util.List;

/**
 * Parameters of a read.
 *
 * <p>Thread safety: immutable as long as its parameters are.
 *
 * @param organisation organisation that the read runs for
 * @param sql the statement
 * @param params values of the statement's parameters
 * @param sessionPosition session position that the data must have reached
 * @param maxAgeMs maximum age of the data at the arrival of the request, -1 for any
 * @param arrivedNanos arrival time of the request
 * @param deadlineNanos time at which the caller stops waiting
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

  /** Returns whether data with the proven age {@code ageNanos}, -1 if unproven, is fresh enough. */
  public boolean acceptsAge(long ageNanos, long nowNanos) {
    if (maxAgeMs < 0) {
      return true;
    }
    long currentAsOfNanos = nowNanos - ageNanos;
    return ageNanos >= 0 && currentAsOfNanos - (arrivedNanos - maxAgeMs * NANOS_PER_MS) >= 0;
  }
}
