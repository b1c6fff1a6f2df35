package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.core.admission.AdmissionPolicy;
import io.hickorydrift.core.admission.DeadlineAdmission;
import io.hickorydrift.core.admission.QueueLengthAdmission;
import io.hickorydrift.core.admission.StandingQueueAdmission;
import io.hickorydrift.core.connection.EvictionPolicy;
import java.util.List;
import java.util.function.Supplier;

/**
 * The decisions that a run of the model goes by.
 *
 * <p>Thread safety: immutable.
 *
 * @param name its name
 * @param admission makes what decides whether work is let in
 * @param usesPriorities whether priorities count
 * @param fairQueueing whether slot time is shared between organisations
 * @param readsAvoidPrimary whether reads go to the primary only if replicas have far more to do
 * @param maxQueuedAtTarget statements sent to a target beyond its slots
 * @param evictionPolicy which connection makes room
 */
public record SchedulingPolicy(
    String name,
    Supplier<AdmissionPolicy> admission,
    boolean usesPriorities,
    boolean fairQueueing,
    boolean readsAvoidPrimary,
    int maxQueuedAtTarget,
    EvictionPolicy evictionPolicy) {
  private static final int QUEUE = 64;
  private static final int UNBOUNDED = Integer.MAX_VALUE / 2;

  /** First come, first served, with a fixed queue. */
  public static final SchedulingPolicy FIRST_COME =
      new SchedulingPolicy(
          "first come, queue of 64",
          () -> new QueueLengthAdmission(QUEUE),
          false,
          false,
          false,
          0,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /** Everything at once to the target with the least to do. */
  public static final SchedulingPolicy SHORTEST_QUEUE =
      new SchedulingPolicy(
          "shortest queue, all let in",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          false,
          UNBOUNDED,
          EvictionPolicy.LEAST_RECENTLY_USED);

  private static final SchedulingPolicy PLACED =
      new SchedulingPolicy(
          "+ primary kept free, few sent ahead",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy FORECAST =
      new SchedulingPolicy(
          "+ refused if hopeless",
          DeadlineAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy STANDING =
      new SchedulingPolicy(
          "+ no standing queue",
          StandingQueueAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy URGENT =
      new SchedulingPolicy(
          "+ urgent first",
          StandingQueueAdmission::new,
          true,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final SchedulingPolicy FAIR =
      new SchedulingPolicy(
          "+ fair between organisations",
          StandingQueueAdmission::new,
          true,
          true,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /** Returns the two baselines and then each rule added to those before it. */
  public static List<SchedulingPolicy> cumulativePolicies() {
    return List.of(
        FIRST_COME,
        SHORTEST_QUEUE,
        PLACED,
        FORECAST,
        STANDING,
        URGENT,
        FAIR,
        FAIR.evictionPolicy("+ connections by expected cost", EvictionPolicy.LEAST_EXPECTED_COST),
        FAIR.evictionPolicy("or large organisations pinned", EvictionPolicy.PINNED_LARGE));
  }

  private SchedulingPolicy evictionPolicy(String newName, EvictionPolicy policy) {
    return new SchedulingPolicy(
        newName,
        admission,
        usesPriorities,
        fairQueueing,
        readsAvoidPrimary,
        maxQueuedAtTarget,
        policy);
  }

  /** Returns the rung called {@code name}. */
  public static SchedulingPolicy named(String name) {
    for (SchedulingPolicy rules : cumulativePolicies()) {
      if (rules.name.equals(name)) {
        return rules;
      }
    }
    throw new IllegalArgumentException("no rules " + name);
  }
}
