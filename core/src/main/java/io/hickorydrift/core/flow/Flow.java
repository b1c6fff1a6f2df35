package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.TargetAnswer;

/**
 * One request on its way through a home instance. Each method takes an event and returns the next
 * step. At most one exchange is under way at any time.
 *
 * <p>Thread safety: confined to one thread.
 */
public interface Flow {
  /** Begins. */
  Step start(long nowNanos);

  /** The exchange asked for brought an answer; the group's view has already taken it in. */
  Step onAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos);

  /** The exchange asked for brought no answer. */
  Step onFailure(String target, ExchangeFailure failure, long nowNanos);

  /** The group's view changed, or the time waited for has come. */
  Step resume(long nowNanos);
}
