package io.hickorydrift.proxy.control;

import io.hickorydrift.core.failover.FailoverSettings;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.core.limit.SlotLeaseSettings;
import io.hickorydrift.core.routing.FreshReplicaFirst;
import io.hickorydrift.core.routing.TargetChooser;

/**
 * Policies of an instance that measurements replace to compare alternatives. Production instances
 * use {@link #STANDARD}.
 *
 * <p>Thread safety: immutable.
 *
 * @param chooser selects targets for reads
 * @param slotLeases durations and fractions of slot leases
 * @param limits how rate limits are divided among instances
 * @param failover timeouts of failure detection and promotion
 * @param fairQueues whether requests for connections are queued fairly, by organisations' weights,
 *     or first come first served
 * @param settingsPollIntervalMs interval at which settings are polled, in milliseconds; 0 watches
 *     them instead
 */
public record Policy(
    TargetChooser chooser,
    SlotLeaseSettings slotLeases,
    LimitSettings limits,
    FailoverSettings failover,
    boolean fairQueues,
    long settingsPollIntervalMs) {
  /** Policies of a production instance. */
  public static final Policy STANDARD =
      new Policy(
          new FreshReplicaFirst(),
          SlotLeaseSettings.STANDARD,
          LimitSettings.STANDARD,
          FailoverSettings.STANDARD,
          true,
          0);

  /** Returns these policies with another selection of targets. */
  public Policy withChooser(TargetChooser other) {
    return new Policy(other, slotLeases, limits, failover, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with other settings for dividing rate limits. */
  public Policy withLimits(LimitSettings other) {
    return new Policy(chooser, slotLeases, other, failover, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with other timeouts of failure detection and promotion. */
  public Policy withFailover(FailoverSettings other) {
    return new Policy(chooser, slotLeases, limits, other, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with one queue for all organisations. */
  public Policy withoutFairQueues() {
    return new Policy(chooser, slotLeases, limits, failover, false, settingsPollIntervalMs);
  }

  /** Returns these policies with settings polled every {@code intervalMs}. */
  public Policy withSettingsPollInterval(long intervalMs) {
    return new Policy(chooser, slotLeases, limits, failover, fairQueues, intervalMs);
  }
}
