package io.hickorydrift.core.failover;

/**
 * Decides from probes whether this observer suspects the primary. A failed probe on a kept
 * connection only asks for a fresh one; two failures in a row on fresh connections make a
 * suspicion, so a connection that has gone silent never does.
 *
 * <p>Thread safety: confined to one thread.
 */
final class ProbeFailureDetector {
  private static final int FRESH_FAILURES = 2;

  private int freshFailures;
  private boolean checkFresh;

  /** Returns whether the next probe must use a fresh connection. */
  boolean needsFreshProbe() {
    return checkFresh;
  }

  /** Asks for a fresh probe, without counting a failure. */
  void requireFreshProbe() {
    checkFresh = true;
  }

  /** Takes in a probe's result. */
  void recordProbe(boolean answered, boolean fresh) {
    if (answered) {
      freshFailures = 0;
      checkFresh = false;
      return;
    }
    checkFresh = true;
    freshFailures += fresh ? 1 : 0;
  }

  /** Returns whether the primary is suspected. */
  boolean suspectsPrimary() {
    return freshFailures >= FRESH_FAILURES;
  }

  /** Starts afresh, for a new primary. */
  void reset() {
    freshFailures = 0;
    checkFresh = false;
  }
}
