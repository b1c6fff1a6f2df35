package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.TargetRequest;

/** What a flow wants next. */
public sealed interface Step {
  /**
   * Run one exchange with a target.
   *
   * @param target target to ask
   * @param request the request; its exchange id is filled in by whoever sends it
   */
  record SendRequest(String target, TargetRequest request) implements Step {}

  /**
   * Nothing now; step again when the group's view changes, and at the latest then.
   *
   * @param untilNanos when to step again
   */
  record Wait(long untilNanos) implements Step {}

  /**
   * The request is over.
   *
   * @param answer the final answer; its correlation id is filled in by whoever sends it
   */
  record Finish(ForwardAnswer answer) implements Step {}
}
