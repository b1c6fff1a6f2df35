package io.hickorydrift.core.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Decides whether an instance watches the store itself or follows a relay of its failure domain.
 *
 * <p>Load pattern: every change in the store wakes each instance that watches it, so that the calls
 * of a fleet that starts, or whose members come and go, grow with the square of its size. With one
 * relay a failure domain they grow with the domains.
 *
 * <p>A relay is replaced by evidence: its link is down, it no longer watches, or its last proof
 * that it is up to date is too old. The next candidate in rank then watches at once; instances that
 * are not candidates watch only if no candidate does, spread in time.
 *
 * <p>Invariant: an instance that has lost its relay watches the store within {@link
 * #MAX_TAKEOVER_MS}. Thread safety: confined to one thread.
 */
public final class RelaySelection {
  /** Upper bound on the time without a usable relay until an instance watches the store itself. */
  public static final long MAX_TAKEOVER_MS = 600;

  // A relay proves that it is up to date at each result of its watch, at least every 0.9 s while it
  // provides proofs, and otherwise takes them from relays that do.
  private static final long MAX_PROOF_AGE_MS = 2_600;
  // Several round trips: a link to a candidate that runs is established and has carried its status.
  private static final long LINK_GRACE_MS = 150;
  // The candidates of a fleet that starts for the first time read the store meanwhile.
  private static final long FIRST_START_GRACE_MS = 1_500;
  private static final long SPREAD_STEP_MS = 100;
  private static final int SPREAD_STEPS = 6;

  /**
   * What an instance knows of a candidate.
   *
   * @param reachable whether the link to it is up
   * @param watching whether it reports that it watches the store itself
   * @param proofAgeMs age of its last proof that it is up to date, or -1
   */
  public record Status(boolean reachable, boolean watching, long proofAgeMs) {
    /** Status of a candidate without a link. */
    public static final Status UNREACHABLE = new Status(false, false, -1);

    private boolean isUsable() {
      return reachable && watching && proofAgeMs >= 0 && proofAgeMs <= MAX_PROOF_AGE_MS;
    }
  }

  private final String self;
  private final long graceMs;
  private final long spreadMs;
  private boolean hadRelay;
  private long withoutRelaySinceNanos;

  /**
   * Creates the selection of the instance {@code self}, which starts at {@code nowNanos}.
   *
   * @param firstStart whether the fleet starts for the first time. Otherwise a candidate that does
   *     not answer at once has failed as well, and the instance reads the store without delay:
   *     after the loss of all instances, one that waited for its relay would serve later than it
   *     could.
   */
  public RelaySelection(String self, boolean firstStart, long nowNanos) {
    this.self = self;
    graceMs = firstStart ? FIRST_START_GRACE_MS : LINK_GRACE_MS;
    spreadMs = Math.floorMod(self.hashCode(), SPREAD_STEPS) * SPREAD_STEP_MS;
    withoutRelaySinceNanos = nowNanos;
  }

  /**
   * Returns the candidate to follow; the own id if the instance watches the store itself; or null
   * while it waits for a candidate.
   *
   * @param candidates candidates of the own failure domain, in order of rank
   * @param statuses what is known of each candidate
   */
  public String choose(List<String> candidates, Function<String, Status> statuses, long nowNanos) {
    for (String candidate : candidates) {
      if (candidate.equals(self)) {
        return watch(nowNanos);
      }
      if (statuses.apply(candidate).isUsable()) {
        hadRelay = true;
        withoutRelaySinceNanos = nowNanos;
        return candidate;
      }
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - withoutRelaySinceNanos);
    long waitMs = hadRelay ? spreadMs : graceMs;
    return elapsedMs < waitMs && !candidates.isEmpty() ? null : self;
  }

  private String watch(long nowNanos) {
    withoutRelaySinceNanos = nowNanos;
    return self;
  }
}
