package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.TargetAnswer;

/**
 * State machine of one request at a home instance. Each method handles an event and returns the
 * next step. At most one exchange is in flight at any time.
 *
 * <p>Thread safety: confined to one thread.
 */
public interface Flow {
  /** Returns the first step. */
  Step start(long nowNanos);

  /** Handles the answer to the requested exchange, already recorded in the group's view. */
  Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos);

  /** Handles the failure of the requested exchange. */
  Step onFailure(String target, ExchangeFailure failure, long nowNanos);

  /** Handles a change of the group's view, or the end of a wait. */
  Step resume(long nowNanos);
}
