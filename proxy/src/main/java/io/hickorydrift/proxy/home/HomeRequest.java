package io.hickorydrift.proxy.home;

import io.hickorydrift.core.flow.Flow;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.proxy.target.TargetConnection;
import java.util.function.Consumer;

/**
 * A request in progress at this home, with the state of its flow.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class HomeRequest {
  final ForwardRequest forwarded;
  final long deadlineNanos;
  final double weight;
  final Consumer<ForwardAnswer> reply;
  Flow flow;
  HomeTransaction transaction;
  TargetConnection begunConnection;
  String begunTarget;
  long resumeNanos;

  HomeRequest(
      ForwardRequest request, long deadlineNanos, double weight, Consumer<ForwardAnswer> reply) {
    this.forwarded = request;
    this.deadlineNanos = deadlineNanos;
    this.weight = weight;
    this.reply = reply;
  }
}
