package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.answer.AnswerMatcher;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.proxy.metrics.Metrics;
import java.util.Locale;

/**
 * Logs and counts messages of targets that do not answer the command that awaits an answer. The
 * lines per second are bounded together with those of requests.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class AnswerLog implements AnswerObserver {
  private final RequestLog log;
  private final Metrics metrics;

  AnswerLog(RequestLog log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void onUnexpected(
      TargetConnection connection,
      String id,
      ExpectedAnswer expected,
      TargetMessage received,
      AnswerMatcher.Verdict verdict,
      String finding) {
    String name = verdict.name().toLowerCase(Locale.ROOT);
    metrics.recordUnexpectedAnswer(name);
    log.logDecision(
        id,
        "decision=answer_{} target={} connection={} expected={} received={} reason=\"{}\"",
        name,
        connection.target().entry().id(),
        connection.number(),
        expected,
        describe(received),
        finding);
  }

  private static String describe(TargetMessage message) {
    if (message instanceof TargetMessage.Complete complete) {
      return "complete:" + complete.signature();
    } else if (message instanceof TargetMessage.Failure failure) {
      return "failure:" + failure.code();
    } else if (message instanceof TargetMessage.Ready ready) {
      return "ready:" + ready.state();
    }
    return message instanceof TargetMessage.Row ? "row" : "unreadable";
  }
}
