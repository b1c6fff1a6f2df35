package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.core.admission.AdmissionPolicy;
import io.hickorydrift.core.admission.DeadlineAdmission;
import io.hickorydrift.core.admission.QueueLengthAdmission;
import io.hickorydrift.core.admission.StandingQueueAdmission;
import io.hickorydrift.core.connection.EvictionPolicy;
import java.util.List;
import java.util.function.Supplier;

/**
 * Scheduling decisions that a simulation applies.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the policy
 * @param admission creates the admission policy
 * @param usesPriorities whether queues are ordered by priority
 * @param fairQueueing whether slot time is shared fairly between organisations
 * @param readsAvoidPrimary whether reads go to the primary only if replicas are far more loaded
 * @param maxQueuedAtTarget maximum number of statements in flight at a target beyond its slots
 * @param evictionPolicy chooses the idle connection to evict
 */
public record SchedulingPolicy(
    String name,
    Supplier<AdmissionPolicy> admission,
    boolean usesPriorities,
    boolean fairQueueing,
    boolean readsAvoidPrimary,
    int maxQueuedAtTarget,
    EvictionPolicy evictionPolicy) {
  private static final int MAX_QUEUE_LENGTH = 64;
  private static final int UNBOUNDED = Integer.MAX_VALUE / 2;

  /** First come, first served, with a queue of fixed length. */
  public static final SchedulingPolicy FIFO =
      new SchedulingPolicy(
          "FIFO, queue of 64",
          () -> new QueueLengthAdmission(MAX_QUEUE_LENGTH),
          false,
          false,
          false,
          0,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /** Sends each statement at once to the target with the fewest statements in flight. */
  public static final SchedulingPolicy SHORTEST_QUEUE =
      new SchedulingPolicy(
          "shortest queue, all admitted",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          false,
          UNBOUNDED,
          EvictionPolicy.LEAST_RECENTLY_USED);

  private static final SchedulingPolicy REPLICA_READS =
      new SchedulingPolicy(
          "+ reads avoid the primary, short target queues",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy DEADLINE_ADMISSION =
      new SchedulingPolicy(
          "+ deadline admission",
          DeadlineAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy STANDING_QUEUE_ADMISSION =
      new SchedulingPolicy(
          "+ standing queue admission",
          StandingQueueAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy PRIORITIES =
      new SchedulingPolicy(
          "+ priorities",
          StandingQueueAdmission::new,
          true,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy FAIR_QUEUEING =
      new SchedulingPolicy(
          "+ fair queueing",
          StandingQueueAdmission::new,
          true,
          true,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /**
   * Returns the two baselines, then policies that each add one decision to the previous one; the
   * last replaces the eviction policy of the one before.
   */
  public static List<SchedulingPolicy> cumulativePolicies() {
    return List.of(
        FIFO,
        SHORTEST_QUEUE,
        REPLICA_READS,
        DEADLINE_ADMISSION,
        STANDING_QUEUE_ADMISSION,
        PRIORITIES,
        FAIR_QUEUEING,
        FAIR_QUEUEING.withEviction(
            "+ eviction by expected cost", EvictionPolicy.LEAST_EXPECTED_COST),
        FAIR_QUEUEING.withEviction("or large organisations pinned", EvictionPolicy.PINNED_LARGE));
  }

  private SchedulingPolicy withEviction(String newName, EvictionPolicy policy) {
    return new SchedulingPolicy(
        newName,
        admission,
        usesPriorities,
        fairQueueing,
        readsAvoidPrimary,
        maxQueuedAtTarget,
        policy);
  }

  /** Returns the policy of {@link #cumulativePolicies} with {@code name}. */
  public static SchedulingPolicy named(String name) {
    for (SchedulingPolicy policy : cumulativePolicies()) {
      if (policy.name.equals(name)) {
        return policy;
      }
    }
    throw new IllegalArgumentException("no policy named " + name);
  }
}
