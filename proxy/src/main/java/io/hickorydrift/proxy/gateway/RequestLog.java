package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs each decision that ends, retries or redirects a request. The number of lines per second is
 * bounded; dropped lines are counted.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RequestLog {
  private static final int MAX_LINES_PER_SECOND = 40;
  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private long windowStartNanos;
  private int linesInWindow;
  private long droppedLines;

  RequestLog(EventLoop loop) {
    this.loop = loop;
  }

  /** Logs a decision about the request {@code id}. */
  void logDecision(String id, String format, Object... values) {
    if (tryTakeLine()) {
      Logger.info((Object) decisionLine(id, format, values));
    } else {
      droppedLines++;
    }
  }

  /** Returns the line of a decision about the request {@code id}. */
  static String decisionLine(String id, String format, Object... values) {
    return LogLine.format("event=request id={} ", id) + LogLine.format(format, values);
  }

  private void log(String format, Object... values) {
    if (tryTakeLine()) {
      Logger.info((Object) LogLine.format(format, values));
    } else {
      droppedLines++;
    }
  }

  /** Logs a session that was refused, or ended because of a message that cannot be served. */
  void logSessionRefusal(FailureCode code, String reason, Declaration declaration) {
    log(
        "event=session_refused code={} reason=\"{}\" version={}",
        code,
        reason,
        declaration.version());
  }

  /** Logs a request that was refused before any part of it ran. */
  void logRefusal(String id, AdmissionDecision admission, Declarations declarations) {
    logDecision(
        id,
        "decision=refused organisation={} code={} reason=\"{}\" version={} proof_age_ms={}",
        admission.organisation(),
        admission.refusal(),
        admission.reason(),
        declarations.current().version(),
        declarations.proofAgeMs());
  }

  /** Logs a request of {@code organisation} that failed after {@code elapsedNanos}. */
  void logFailure(
      Statement statement, String organisation, StatementOutcome outcome, long elapsedNanos) {
    logDecision(
        statement.id(),
        "decision=failed organisation={} kind={} code={} reason=\"{}\" after_ms={}",
        organisation,
        statement.kind(),
        outcome.failure(),
        outcome.reason(),
        TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
  }

  private boolean tryTakeLine() {
    long nowNanos = loop.nowNanos();
    if (nowNanos - windowStartNanos > WINDOW_NANOS) {
      if (droppedLines > 0) {
        Logger.info("event=lines_dropped count={}", droppedLines);
      }
      windowStartNanos = nowNanos;
      linesInWindow = 0;
      droppedLines = 0;
    }
    return linesInWindow++ < MAX_LINES_PER_SECOND;
  }
}
