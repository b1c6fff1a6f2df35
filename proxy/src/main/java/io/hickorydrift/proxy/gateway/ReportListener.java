package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.TargetReport;

/** Receives the answer to a command that is answered with a report. */
@FunctionalInterface
interface ReportListener {
  /** Called with the report, or with null if none arrived in time. */
  void answered(TargetReport report);

  /** Called instead if the target does not know the command. */
  default void unsupported() {
    answered(null);
  }
}
