package io.hickorydrift.core.connection;

/**
 * Decides whether a request that waits for a connection of its organisation gets a new one. Load
 * pattern: more organisations than connections, each with requests in small bursts. Opening a
 * connection takes about as long as a statement and occupies a slot of the target, and replacing
 * one costs another organisation the same again; a connection of the same organisation that is in
 * use becomes free in that time without either.
 *
 * <p>Thread safety: stateless.
 */
public final class OpeningPolicy {
  // Above the duration of most statements. A connection that is busy for longer is probably held by
  // a transaction whose caller pauses.
  private static final long REPLACE_AFTER_NANOS = 30_000_000L;

  /** What to do for a waiting request. */
  public enum Decision {
    /** Wait for a connection that is open or being opened. */
    WAIT,
    /** Open a connection. */
    OPEN,
    /** Close an idle connection of another organisation and open one. */
    REPLACE
  }

  /**
   * Connections of one organisation at a target.
   *
   * @param open connections that are open, all of them in use
   * @param opening connections that are being opened
   * @param waiting requests that wait for a connection
   * @param max maximum number of connections
   */
  public record Demand(int open, int opening, int waiting, int max) {}

  private OpeningPolicy() {}

  /**
   * Decides for the first waiting request of an organisation.
   *
   * @param demand the organisation's connections
   * @param poolFull whether the pool may not grow
   * @param waitedNanos time for which the request has waited
   */
  public static Decision decide(Demand demand, boolean poolFull, long waitedNanos) {
    boolean opensEnough = demand.opening >= demand.waiting;
    if (opensEnough || demand.open + demand.opening >= demand.max) {
      return Decision.WAIT;
    }
    if (!poolFull) {
      return Decision.OPEN;
    }
    boolean servedSoon = demand.open + demand.opening >= demand.waiting;
    return servedSoon && waitedNanos < REPLACE_AFTER_NANOS ? Decision.WAIT : Decision.REPLACE;
  }
}
