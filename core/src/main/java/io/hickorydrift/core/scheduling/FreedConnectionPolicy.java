package io.hickorydrift.core.scheduling;

/**
 * Decides whether a connection that has become free stays with its organisation, which has waiting
 * requests, or makes room for another organisation. Load pattern: an organisation at several times
 * its usual load always has waiting requests, so that its connections never become idle and cannot
 * be evicted; organisations without a connection would wait without end. Making room costs the time
 * to open a connection, so that it is done only for more urgent work or beyond a fair share.
 *
 * <p>Thread safety: stateless.
 */
public final class FreedConnectionPolicy {
  private FreedConnectionPolicy() {}

  /**
   * Returns whether the connection has to make room for {@code first}.
   *
   * @param first request of another organisation that comes first and needs a connection to be
   *     closed
   * @param own first request of the connection's organisation
   * @param ownConnections connections of that organisation
   * @param fairShare number of connections of each organisation if they are shared equally
   */
  public static boolean makesRoom(
      WaitingRequest first, WaitingRequest own, int ownConnections, int fairShare, long nowNanos) {
    return first.agedPriority(nowNanos) < own.agedPriority(nowNanos)
        || ownConnections > Math.max(1, fairShare);
  }
}
