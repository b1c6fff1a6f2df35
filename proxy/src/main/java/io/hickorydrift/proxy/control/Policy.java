package io.hickorydrift.proxy.control;

import io.hickorydrift.core.failover.FailoverSettings;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.core.limit.SlotLeaseSettings;
import io.hickorydrift.core.routing.FreshReplicaFirst;
import io.hickorydrift.core.routing.TargetChooser;

/**
 * The policies that measurements compare; an instance that serves uses {@link #STANDARD}.
 *
 * <p>Thread safety: immutable.
 *
 * @param chooser how reads choose targets
 * @param slotLeases leases of slots
 * @param limits how rates are spread over instances
 * @param failover times of detection and promotion
 * @param fairQueues whether connections are shared between organisations by weight, or first come
 *     first served
 * @param settingsPollIntervalMs how often settings are polled, in milliseconds; 0 watches them
 */
public record Policy(
    TargetChooser chooser,
    SlotLeaseSettings slotLeases,
    LimitSettings limits,
    FailoverSettings failover,
    boolean fairQueues,
    long settingsPollIntervalMs) {
  /** The policies of an instance that serves. */
  public static final Policy STANDARD =
      new Policy(
          new FreshReplicaFirst(),
          SlotLeaseSettings.STANDARD,
          LimitSettings.STANDARD,
          FailoverSettings.STANDARD,
          true,
          0);

  /** Returns these policies with another choice of targets. */
  public Policy withChooser(TargetChooser other) {
    return new Policy(other, slotLeases, limits, failover, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with another spread of rates. */
  public Policy withLimits(LimitSettings other) {
    return new Policy(chooser, slotLeases, other, failover, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with other times of detection and promotion. */
  public Policy withFailover(FailoverSettings other) {
    return new Policy(chooser, slotLeases, limits, other, fairQueues, settingsPollIntervalMs);
  }

  /** Returns these policies with one queue for all organisations. */
  public Policy withoutFairQueues() {
    return new Policy(chooser, slotLeases, limits, failover, false, settingsPollIntervalMs);
  }

  /** Returns these policies with settings polled every {@code pollMs}. */
  public Policy withSettingsPollInterval(long pollMs) {
    return new Policy(chooser, slotLeases, limits, failover, fairQueues, pollMs);
  }
}
