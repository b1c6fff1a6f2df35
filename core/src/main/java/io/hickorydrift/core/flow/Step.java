package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.TargetRequest;

/** Next step of a flow. */
public sealed interface Step {
  /**
   * Run one exchange with a target.
   *
   * @param target target of the exchange
   * @param request the request; the sender fills in its exchange id
   */
  record SendRequest(String target, TargetRequest request) implements Step {}

  /**
   * Wait; resume the flow when the group's view changes, and at the latest at the given time.
   *
   * @param untilNanos latest time to resume the flow
   */
  record Wait(long untilNanos) implements Step {}

  /**
   * Complete the request.
   *
   * @param answer the final answer; the sender fills in its correlation id
   */
  record Finish(ForwardAnswer answer) implements Step {}
}
