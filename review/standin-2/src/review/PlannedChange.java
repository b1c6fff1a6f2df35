package review;

import io.hickorydrift.platform.standin.StandinPlatform;
import io.hickorydrift.platform.standin.StandinTarget;
import java.util.List;

/**
 * A primary of a service with syncReplicas 1 is replaced as planned, while transactions are open.
 * The replica that is to take over receives nothing for a while from the promotion request on.
 */
public final class PlannedChange {
  private PlannedChange() {}

  public static void main(String[] arguments) {
    Rig.run(List.of("ikeja", "lekki", "yaba"), rig -> run(rig, new CommitLoad(rig)));
  }

  private static int run(Rig rig, CommitLoad load) throws Exception {
    if (!load.start()) {
      return rig.couldNotRun("not ready");
    }
    StandinTarget former = load.group().primary();
    rig.record("planned: " + former.id() + " reports draining");
    former.drain();
    if (!rig.runUntil(12_000, () -> !rig.platform.promotionRequests().isEmpty())) {
      return rig.couldNotRun("no promotion was requested");
    }
    StandinPlatform.PromotionRequest request = rig.platform.promotionRequests().get(0);
    rig.record("promotion of " + request.target() + " requested by " + request.holder());
    if (rig.trouble) {
      load.deafen(load.target(request.target()));
    }
    if (!rig.runUntil(12_000, () -> load.group().promotionCount() > 0)) {
      return rig.couldNotRun("no promotion");
    }
    rig.record("promoted: " + load.group().primary().id());
    rig.runFor(3_000);
    return load.judge();
  }
}
