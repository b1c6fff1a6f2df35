package io.hickorydrift.core.admission;

/**
 * Limits retries and hedged requests to a fraction of the load. Load pattern: a target becomes
 * slow, all callers send a second request to another one, and the doubled load keeps all targets
 * slow after the cause is gone. Each first attempt deposits a fraction of a retry.
 *
 * <p>Invariant: over any period, the number of retries is at most the sum of the deposits plus the
 * maximum balance. Thread safety: confined to one thread.
 */
public final class RetryBudget {
  // 10 % is above the usual rate of lost answers and far below a doubled load.
  private static final double DEPOSIT_PER_ATTEMPT = 0.1;
  private static final double MAX_BALANCE = 8;

  private double balance = MAX_BALANCE;

  /** Deposits the share earned by the first attempt of a statement. */
  public void deposit() {
    balance = Math.min(MAX_BALANCE, balance + DEPOSIT_PER_ATTEMPT);
  }

  /** Withdraws one retry; returns false if the balance does not cover it. */
  public boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
