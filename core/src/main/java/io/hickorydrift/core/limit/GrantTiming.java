package io.hickorydrift.core.limit;

/**
 * Times of the exchange of tokens between instances. Load pattern: callers of one organisation in
 * several regions. With the times for one region, the answer of a holder in another region arrives
 * after the operation has been refused, although the rate is not used up.
 *
 * <p>Invariant: all instances of a fleet use the same times, because the validity of granted tokens
 * determines how many tokens the holders may keep. Thread safety: immutable.
 *
 * @param maxQueueWaitNanos time for which an operation waits for a token
 * @param answerTimeoutNanos time after which a request for tokens counts as lost
 * @param maxTokenValidityNanos maximum validity of a granted token, from the request for it
 * @param demandHorizonSeconds span of expected demand for which tokens are requested in advance
 * @param nearestFirst whether each round of requests begins with the first holder, the nearest one
 */
public record GrantTiming(
    long maxQueueWaitNanos,
    long answerTimeoutNanos,
    long maxTokenValidityNanos,
    double demandHorizonSeconds,
    boolean nearestFirst) {
  /** Round trips of about two milliseconds; the validity covers several, so that few expire. */
  public static final GrantTiming WITHIN_REGION =
      new GrantTiming(35_000_000L, 30_000_000L, 120_000_000L, 0.06, false);

  /** Round trips of up to 100 ms, as between regions that are thousands of kilometres apart. */
  public static final GrantTiming ACROSS_REGIONS =
      new GrantTiming(150_000_000L, 120_000_000L, 240_000_000L, 0.12, true);
}
