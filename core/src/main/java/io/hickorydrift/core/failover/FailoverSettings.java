package io.hickorydrift.core.failover;

/**
 * Intervals and timeouts of failure detection and promotion.
 *
 * <p>Thread safety: immutable.
 *
 * @param probeIntervalNanos interval between probes of a healthy primary
 * @param idleProbeIntervalNanos interval between probes of the primary of an idle group
 * @param probeTimeoutNanos time after which an unanswered probe counts as failed
 * @param retryDelayNanos delay before the next probe after a failure on a new connection, and
 *     before the next promotion attempt after a failed promotion
 * @param suspicionValidityNanos how long another observer's suspicion stays valid
 * @param rankDelayNanos additional delay before promotion for each lower rank among the suspecting
 *     observers
 * @param attemptTimeoutNanos time after which an attempt to fence or promote is abandoned, and
 *     backoff after an abandoned attempt
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

  /** Settings for failure domains with a few milliseconds of network latency between them. */
  public static final FailoverSettings STANDARD =
      new FailoverSettings(
          200 * MS, 3_000 * MS, 250 * MS, 100 * MS, 2_000 * MS, 300 * MS, 800 * MS);
}
