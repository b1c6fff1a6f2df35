package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One line for each decision that ends or turns a request, within a budget of lines a second; what
 * is left out is counted.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RequestLog {
  private static final int LINES_PER_SECOND = 40;
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private long secondNanos;
  private int lines;
  private long dropped;

  RequestLog(EventLoop loop) {
    this.loop = loop;
  }

  /** Writes a line about the request {@code id}. */
  void logDecision(String id, String format, Object... values) {
    if (!room()) {
      dropped++;
      return;
    }
    Logger.info("event=request id=" + id + " " + format, values);
  }

  /** A request is refused before anything of it ran. */
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

  /** A request ended without success after {@code nanos}. */
  void logFailure(Statement statement, StatementOutcome outcome, long nanos) {
    logDecision(
        statement.id(),
        "decision=failed kind={} code={} reason=\"{}\" after_ms={}",
        statement.kind(),
        outcome.failure(),
        outcome.reason(),
        TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  private boolean room() {
    long nowNanos = loop.nowNanos();
    if (nowNanos - secondNanos > SECOND_NANOS) {
      if (dropped > 0) {
        Logger.info("event=lines_dropped count={}", dropped);
      }
      secondNanos = nowNanos;
      lines = 0;
      dropped = 0;
    }
    return lines++ < LINES_PER_SECOND;
  }
}
