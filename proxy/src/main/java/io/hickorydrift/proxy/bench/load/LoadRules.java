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
 * @param urgentFirst whether priorities count
 * @param fair whether slot time is shared between organisations
 * @param keepsPrimaryFree whether reads go to the primary only if replicas have far more to do
 * @param ahead statements sent to a target beyond its slots
 * @param keeping which connection makes room
 */
public record LoadRules(
    String name,
    Supplier<AdmissionPolicy> admission,
    boolean urgentFirst,
    boolean fair,
    boolean keepsPrimaryFree,
    int ahead,
    EvictionPolicy keeping) {
  private static final int QUEUE = 64;
  private static final int UNBOUNDED = Integer.MAX_VALUE / 2;

  /** First come, first served, with a fixed queue. */
  public static final LoadRules FIRST_COME =
      new LoadRules(
          "first come, queue of 64",
          () -> new QueueLengthAdmission(QUEUE),
          false,
          false,
          false,
          0,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /** Everything at once to the target with the least to do. */
  public static final LoadRules SHORTEST_QUEUE =
      new LoadRules(
          "shortest queue, all let in",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          false,
          UNBOUNDED,
          EvictionPolicy.LEAST_RECENTLY_USED);

  private static final LoadRules PLACED =
      new LoadRules(
          "+ primary kept free, few sent ahead",
          () -> new QueueLengthAdmission(UNBOUNDED),
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final LoadRules FORECAST =
      new LoadRules(
          "+ refused if hopeless",
          DeadlineAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final LoadRules STANDING =
      new LoadRules(
          "+ no standing queue",
          StandingQueueAdmission::new,
          false,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final LoadRules URGENT =
      new LoadRules(
          "+ urgent first",
          StandingQueueAdmission::new,
          true,
          false,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);
  private static final LoadRules FAIR =
      new LoadRules(
          "+ fair between organisations",
          StandingQueueAdmission::new,
          true,
          true,
          true,
          2,
          EvictionPolicy.LEAST_RECENTLY_USED);

  /** Returns the two baselines and then each rule added to those before it. */
  public static List<LoadRules> ladder() {
    return List.of(
        FIRST_COME,
        SHORTEST_QUEUE,
        PLACED,
        FORECAST,
        STANDING,
        URGENT,
        FAIR,
        FAIR.keeping("+ connections by expected cost", EvictionPolicy.LEAST_EXPECTED_COST),
        FAIR.keeping("or large organisations pinned", EvictionPolicy.PINNED_LARGE));
  }

  private LoadRules keeping(String newName, EvictionPolicy policy) {
    return new LoadRules(newName, admission, urgentFirst, fair, keepsPrimaryFree, ahead, policy);
  }

  /** Returns the rung called {@code name}. */
  public static LoadRules rung(String name) {
    for (LoadRules rules : ladder()) {
      if (rules.name.equals(name)) {
        return rules;
      }
    }
    throw new IllegalArgumentException("no rules " + name);
  }
}
