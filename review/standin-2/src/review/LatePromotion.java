package review;

import io.hickorydrift.platform.standin.StandinPlatform;
import io.hickorydrift.platform.standin.StandinTarget;
import java.util.List;

/**
 * The primary of a service with syncReplicas 1 is dark until an instance orders the promotion of a
 * replica. The order gets no answer and is carried out six seconds later, while the primary serves
 * again and that replica receives nothing for a while.
 */
public final class LatePromotion {
  private static final long MAX_DARK_MS = 7_000;
  private static final long LATE_MS = 6_000;
  // The replica stops to receive this long before the order is carried out.
  private static final long DEAF_BEFORE_MS = 3_000;

  private LatePromotion() {}

  public static void main(String[] arguments) {
    Rig.run(List.of("ikeja", "lekki", "yaba"), rig -> run(rig, new CommitLoad(rig)));
  }

  private static int run(Rig rig, CommitLoad load) throws Exception {
    if (!load.start()) {
      return rig.couldNotRun("not ready");
    }
    StandinTarget former = load.group().primary();
    if (rig.trouble) {
      rig.platform.setUnansweredPromotions(1);
      rig.record(former.id() + " is dark");
      former.setUnresponsive(true);
      if (!rig.runUntil(MAX_DARK_MS, () -> !rig.platform.promotionRequests().isEmpty())) {
        return rig.couldNotRun("no promotion was requested");
      }
      StandinPlatform.PromotionRequest late = rig.platform.promotionRequests().get(0);
      StandinTarget chosen = load.target(late.target());
      rig.record(
          "promotion of " + late.target() + " requested by " + late.holder() + ", fence "
              + late.fence() + ": no answer");
      bringBack(rig, former);
      rig.runFor(LATE_MS - DEAF_BEFORE_MS);
      if (load.group().primary() != former) {
        return rig.couldNotRun("another promotion was carried out");
      }
      load.deafen(chosen);
      rig.runFor(DEAF_BEFORE_MS);
      carryOut(rig, load, late);
    } else {
      rig.runFor(LATE_MS);
    }
    rig.runFor(3_000);
    rig.record("all promotion requests: " + rig.platform.promotionRequests());
    return load.judge();
  }

  private static void bringBack(Rig rig, StandinTarget former) {
    former.setUnresponsive(false);
    // Its connections of before are gone.
    former.closeConnections();
    rig.record(former.id() + " is back with its log");
  }

  /** Carries the order out; its fence is checked now. */
  private static void carryOut(Rig rig, CommitLoad load, StandinPlatform.PromotionRequest late) {
    long highest =
        rig.platform.promotionRequests().stream()
            .mapToLong(StandinPlatform.PromotionRequest::fence)
            .max()
            .getAsLong();
    if (late.fence() < highest) {
      rig.record("the late order is refused (409): fence " + highest + " was seen");
      return;
    }
    rig.record("the late order is carried out: " + late.target() + " leads");
    load.group().becomePrimary(load.target(late.target()));
  }
}
