package io.hickorydrift.core.scheduling;

/**
 * A request that waits for a connection to a target.
 *
 * <p>Thread safety: immutable.
 *
 * @param organisation organisation that the connection has to belong to
 * @param priority declared priority, 0 being the most urgent
 * @param sinceNanos time at which the request began to wait
 * @param receivedNanos time at which its statement was received from the caller
 * @param objectiveNanos latency objective of the statement's route; 0 if it has none
 * @param deadlineNanos time until which the request may wait
 * @param serviceNanos slot time that the statement is expected to take
 */
public record WaitingRequest(
    String organisation,
    int priority,
    long sinceNanos,
    long receivedNanos,
    long objectiveNanos,
    long deadlineNanos,
    long serviceNanos) {
  private static final long FIRST_RAISE_QUARTERS = 2;
  private static final long QUARTERS = 4;

  /**
   * Returns the priority after aging: one higher once half of the objective is used, and one more
   * for each further quarter, so that no request waits without end.
   */
  public long agedPriority(long nowNanos) {
    if (objectiveNanos <= 0) {
      return priority;
    }
    long usedQuarters = (nowNanos - receivedNanos) * QUARTERS / objectiveNanos;
    return priority - Math.max(0, usedQuarters - FIRST_RAISE_QUARTERS + 1);
  }
}
