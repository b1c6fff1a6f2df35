package io.hickorydrift.core.admission;

/**
 * Decides whether a statement that no target can run now is held for another try, or refused. Load
 * pattern: a group has lost its primary, and every statement that needs it arrives at a wall for
 * seconds; held to their limit, all of them would be refused anyway, too late for the caller to do
 * anything else.
 *
 * <p>Thread safety: immutable.
 */
public final class HoldPolicy {
  /** Result of {@link #refuseAfterMs}: the statement is held. */
  public static final long HOLD = -1;

  // Longer than the usual wait for a slot or a connection, and far shorter than a change of
  // primary.
  private static final long MAX_HOLD_MS = 400;
  // Leaves the caller time for another attempt.
  private static final double MAX_TIMEOUT_SHARE = 0.4;
  // While a new primary is expected, waiting for it serves more callers than retries that find the
  // group without one. Leaves time to run the statement.
  private static final double MAX_RECOVERY_TIMEOUT_SHARE = 0.7;
  // Shorter pauses would repeat the attempt in the same state of the group.
  private static final long MIN_RETRY_MS = 100;

  private final long holdMs;
  private final long recoveryHoldMs;

  /** Creates the policy of a statement with the timeout {@code statementTimeoutMs}. */
  public HoldPolicy(long statementTimeoutMs) {
    holdMs = Math.min(MAX_HOLD_MS, (long) (statementTimeoutMs * MAX_TIMEOUT_SHARE));
    recoveryHoldMs = (long) (statementTimeoutMs * MAX_RECOVERY_TIMEOUT_SHARE);
  }

  /** Returns for how long the statement may be held for a usable target, from its arrival. */
  public long holdMs() {
    return holdMs;
  }

  /**
   * Returns {@link #HOLD}, or the delay after which a refused caller should retry.
   *
   * @param usable whether a target is known that could run the statement, but has not in this try
   * @param recoveryMs expected time until the group has such a target, if none is known
   * @param elapsedMs time since the arrival of the statement
   */
  public long refuseAfterMs(boolean usable, long recoveryMs, long elapsedMs) {
    boolean hopeless = usable ? elapsedMs >= holdMs : elapsedMs + recoveryMs > recoveryHoldMs;
    if (!hopeless) {
      return HOLD;
    }
    return Math.max(MIN_RETRY_MS, usable ? 0 : recoveryMs);
  }
}
