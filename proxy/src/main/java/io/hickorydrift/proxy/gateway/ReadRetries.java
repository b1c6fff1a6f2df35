package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.proxy.metrics.Metrics;

/**
 * Reads that this instance tries again at another home or target, within the retry budget of their
 * group, which also covers hedged requests.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
record ReadRetries(Directory directory, Metrics metrics) {
  /** Records the first attempt of a read. */
  void recordFirstAttempt(String group) {
    directory.group(group).retryBudget().deposit();
  }

  /** Returns whether a read of {@code group} may be tried again, and counts the retry if so. */
  boolean tryRetry(String group, String reason) {
    if (!directory.group(group).retryBudget().tryWithdraw()) {
      return false;
    }
    metrics.recordReadRetried(reason);
    return true;
  }
}
