package io.hickorydrift.core.failover;

/**
 * Times that the detection and the promotion go by.
 *
 * <p>Thread safety: immutable.
 *
 * @param probeIntervalNanos between probes of a healthy primary
 * @param idleProbeIntervalNanos between probes of the primary of a group that nobody uses
 * @param probeTimeoutNanos after which a probe has failed
 * @param retryDelayNanos between failed probes on fresh connections
 * @param suspicionValidityNanos how long another observer's suspicion counts
 * @param rankDelayNanos how much longer each lower-ranked observer holds back
 * @param attemptTimeoutNanos after which an attempt to fence or promote is given up
 */
public record FailoverSettings(
    long probeIntervalNanos,
    long idleProbeIntervalNanos,
    long probeTimeoutNanos,
    long retryDelayNanos,
    long suspicionValidityNanos,
    long rankDelayNanos,
    long attemptTimeoutNanos) {
  private static final long MS = 1_000_000L;

  /** Times for failure domains a few milliseconds apart. */
  public static final FailoverSettings STANDARD =
      new FailoverSettings(
          200 * MS, 3_000 * MS, 250 * MS, 100 * MS, 2_000 * MS, 300 * MS, 800 * MS);
}
