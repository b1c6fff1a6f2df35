package io.hickorydrift.core.failover;

/**
 * Failure detector that decides from probe results whether this observer suspects the primary. A
 * failed probe on an established connection only triggers a probe on a new one; two consecutive
 * failures on new connections raise a suspicion. An unresponsive connection alone therefore never
 * raises one.
 *
 * <p>Thread safety: confined to one thread.
 */
final class ProbeFailureDetector {
  private static final int MIN_FRESH_FAILURES = 2;

  private int freshFailures;
  private boolean freshProbeNeeded;

  /** Returns whether the next probe must use a new connection. */
  boolean needsFreshProbe() {
    return freshProbeNeeded;
  }

  /** Requires the next probe to use a new connection, without counting a failure. */
  void requireFreshProbe() {
    freshProbeNeeded = true;
  }

  /**
   * Records a probe's result.
   *
   * @param healthy whether the target answered as the primary
   * @param fresh whether the probe used a new connection
   */
  void recordProbe(boolean healthy, boolean fresh) {
    if (healthy) {
      freshFailures = 0;
      freshProbeNeeded = false;
      return;
    }
    freshProbeNeeded = true;
    freshFailures += fresh ? 1 : 0;
  }

  /** Returns whether the primary is suspected. */
  boolean suspectsPrimary() {
    return freshFailures >= MIN_FRESH_FAILURES;
  }

  /** Clears all failures, for a new primary. */
  void reset() {
    freshFailures = 0;
    freshProbeNeeded = false;
  }
}
