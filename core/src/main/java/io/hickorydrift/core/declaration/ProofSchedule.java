package io.hickorydrift.core.declaration;

/**
 * Decides when an instance looks for a younger proof that its declaration is current.
 *
 * <p>Load pattern: the store gives no usable answer for 3 s, and keys end 4.6 s after the last
 * proof. What is left, 1.6 s, has to cover the age of the proof when the failure begins and the
 * time until the first proof after it arrives, at each instance. A proof dates from its request, so
 * that the result of a watch is as old as the watch has waited.
 *
 * <p>The few instances that provide the others with proofs therefore ask the store without waiting,
 * and the others ask a peer as soon as it should have a younger proof, rather than at the next
 * heartbeat. Longest ages: 0.8 s at a provider, 0.1 s more for each peer on the way, which are two
 * to an instance of another failure domain, and the round trips.
 *
 * <p>Thread safety: immutable.
 */
public final class ProofSchedule {
  /** Interval at which a provider decides whether to poll. */
  public static final long POLL_TICK_MS = 50;

  /** Interval at which an instance decides whether to ask its peers. */
  public static final long ASK_INTERVAL_MS = 100;

  // A calm fleet makes hardly any other calls. Any answer of the store counts as a poll.
  private static final long POLL_INTERVAL_MS = 750;
  // The next poll of the provider has been answered by then.
  private static final long YOUNG_MS = 850;
  // The peer that is asked otherwise has missed a poll, or is not reachable.
  private static final long OLD_MS = 1_500;

  /** Peers that are asked for a younger proof. */
  public enum Ask {
    /** None. */
    NONE,
    /** The one whose last proof is the youngest. */
    YOUNGEST,
    /** All relays that there are links to. */
    ALL
  }

  private ProofSchedule() {}

  /**
   * Returns whether a provider polls if its last proof is {@code ageMs} old, -1 if there is none,
   * and its last poll was {@code sincePollMs} ago. A proof of another provider saves the poll.
   */
  public static boolean isPollDue(long ageMs, long sincePollMs) {
    return (ageMs < 0 || ageMs >= POLL_INTERVAL_MS) && sincePollMs >= POLL_INTERVAL_MS;
  }

  /**
   * Returns whom to ask if the last proof is {@code ageMs} old and keys stay valid by it for {@code
   * leftMs}. Once keys have ended, heartbeats suffice, so that a long failure costs no more.
   */
  public static Ask ask(long ageMs, long leftMs) {
    if (leftMs <= 0 || ageMs <= YOUNG_MS) {
      return Ask.NONE;
    }
    return ageMs <= OLD_MS ? Ask.YOUNGEST : Ask.ALL;
  }
}
