package io.hickorydrift.core.admission;

/**
 * Bounds work that is done more than once. Load pattern: a target gets slow, everyone asks another
 * one as well, and the doubled work keeps all of them slow after the cause is gone. Each first try
 * earns a small part of a repeat, so that repeats stay a small part of the load.
 *
 * <p>Invariant: over any time, repeats are at most the part earned and the stock. Thread safety:
 * confined to one thread.
 */
public final class RetryBudget {
  // One in ten is above the usual loss of answers and far below what doubles the load.
  private static final double EARNED_PER_TRY = 0.1;
  private static final double STOCK = 8;

  private double left = STOCK;

  /** A statement is tried for the first time. */
  public void deposit() {
    left = Math.min(STOCK, left + EARNED_PER_TRY);
  }

  /** Takes one repeat; returns false if there is none left. */
  public boolean tryWithdraw() {
    if (left < 1) {
      return false;
    }
    left--;
    return true;
  }
}
