package io.hickorydrift.proxy.cli;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs a line if the process ends although its command has not succeeded: by a signal, by an error
 * that the command did not catch, or because the command failed.
 *
 * <p>Thread safety: safe.
 */
final class ExitLog {
  private final long startNanos = System.nanoTime();
  private final LogOutput output;
  private volatile Throwable error;
  private volatile Integer exitCode;

  private ExitLog(LogOutput output) {
    this.output = output;
  }

  /** Returns a log that is written when the virtual machine shuts down. */
  static ExitLog install(LogOutput output) {
    ExitLog log = new ExitLog(output);
    Runtime.getRuntime().addShutdownHook(new Thread(log::write, "exit-log"));
    return log;
  }

  /** Records that the command has returned; a line is due only if it failed. */
  void recordCompletion(int code) {
    exitCode = code;
  }

  /** Records the error that ended the command. */
  void recordError(Throwable cause) {
    error = cause;
  }

  private void write() {
    if (exitCode != null && exitCode != ExitCode.FAILED) {
      return;
    }
    long uptimeMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    if (exitCode != null) {
      Logger.error("event=exit cause=failed uptime_ms={}", uptimeMs);
    } else if (error != null) {
      Logger.error("event=exit cause=error error=\"{}\" uptime_ms={}", error, uptimeMs);
    } else {
      Logger.error("event=exit cause=signal uptime_ms={}", uptimeMs);
    }
    output.drain();
  }
}
