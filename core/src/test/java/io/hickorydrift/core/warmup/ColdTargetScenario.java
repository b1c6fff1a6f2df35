package io.hickorydrift.core.warmup;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A cold target and the instances of a fleet, in simulated time. All instances send as much as they
 * may. Homes move and are lost, instances are cut off and restart, entries arrive late.
 */
final class ColdTargetScenario {
  /** Kinds of trouble during the warm-up. */
  enum Trouble {
    NONE,
    HOME_MOVES,
    HOME_CUT_OFF,
    HOME_RESTARTS,
    FLEET_GROWS,
    FLEET_SHRINKS
  }

  static final String GROUP = "g";
  private static final long STEP_MS = 10;
  private static final long START_MS = 20_000;
  // Instances learn of a change of the home at different times.
  private static final int VIEW_SKEW_MS = 400;
  // A member whose lease is not renewed is dropped no earlier than this after it was cut off.
  private static final long LEASE_LEFT_MS = 3_500;
  // An instance without a newer proof uses no part of the bound.
  private static final long PROOF_VALID_MS = 3_000;
  private static final int CLOCK_SKEW_MS = 900;
  private static final int LATENCY_MS = 45;

  private final class Instance {
    private ColdTargets cold = new ColdTargets();
    private Directory directory = new Directory(removed -> {});
    private final long clockSkewMs = random.nextInt(2 * CLOCK_SKEW_MS) - CLOCK_SKEW_MS;
    private long viewSkewMs = random.nextInt(VIEW_SKEW_MS);
    private long cutMs = Long.MAX_VALUE;
    private long begunMs = -1;

    private void restart() {
      cold = new ColdTargets();
      directory = new Directory(removed -> {});
      begunMs = -1;
    }

    private TargetState target() {
      return directory.group(GROUP).targets().iterator().next();
    }

    /** Returns the home, or the fleet size with own connections, in the view of the instance. */
    private int view(long nowMs) {
      long viewMs = Math.min(nowMs, cutMs) - viewSkewMs;
      int seen = views.get(0);
      for (int i = 0; i < changeMs.size(); i++) {
        seen = changeMs.get(i) <= viewMs ? views.get(i + 1) : seen;
      }
      return seen;
    }

    private double share(int self, long nowMs) {
      if (nowMs - cutMs >= PROOF_VALID_MS) {
        return 0;
      }
      int view = view(nowMs);
      if (direct) {
        return self < view ? ColdTargets.shareOf(perSecond, self, view) : 0;
      }
      return self == view ? perSecond : 0;
    }

    private void step(int self, long nowMs) {
      directory.put(entryAt(nowMs - random.nextInt(300)), new StorePosition(1, nowMs));
      long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
      cold.update(target(), declared, GROUP, share(self, nowMs), nowNanos, nowMs + clockSkewMs);
      if (begunMs >= 0 && nowMs - begunMs >= 30) {
        cold.move(target(), TimeUnit.MILLISECONDS.toNanos(begunMs), nowNanos);
        sent(nowMs);
        begunMs = -1;
      }
      for (int i = random.nextInt(4); i > 0; i--) {
        if (begunMs < 0 && random.nextInt(5) == 0 && cold.tryTake(target(), 2, nowNanos)) {
          begunMs = nowMs;
        } else if (cold.tryTake(target(), 1, nowNanos)) {
          sent(nowMs);
        }
      }
    }
  }

  private final Random random;
  private final double perSecond;
  private final boolean direct;
  private final long coldMs;
  private final DeclaredGroup declared;
  private final List<Instance> instances = new ArrayList<>();
  private final List<Integer> views = new ArrayList<>();
  private final List<Long> changeMs = new ArrayList<>();
  private final List<Long> arrivalsMs = new ArrayList<>();

  ColdTargetScenario(long seed, double perSecond, int fleetSize, boolean direct) {
    random = new Random(seed);
    this.perSecond = perSecond;
    this.direct = direct;
    coldMs = 6_000 + random.nextInt(6_000);
    declared = new DeclaredGroup(GROUP, 10, 0, coldMs, perSecond);
    for (int i = 0; i < fleetSize; i++) {
      instances.add(new Instance());
    }
    views.add(direct ? fleetSize : 0);
  }

  /** The target writes an entry each second, in which the remaining time runs down. */
  private TargetEntry entryAt(long ms) {
    long sequence = Math.max(0, ms - START_MS) / 1_000;
    long leftMs = Math.max(0, coldMs - sequence * 1_000);
    return new TargetEntry("t", GROUP, "a:1", "z", 3, false, false, START_MS, sequence + 1, leftMs);
  }

  private void sent(long nowMs) {
    long arrivalMs = nowMs + random.nextInt(LATENCY_MS);
    if (arrivalMs < START_MS + coldMs) {
      arrivalsMs.add(arrivalMs);
    }
  }

  /** Runs from before the start of the target until it is warm; returns the arrivals in order. */
  List<Long> run(Trouble trouble) {
    long troubleMs = START_MS + 1_500 + random.nextInt((int) coldMs / 2);
    int other = instances.size() - 1;
    if (trouble == Trouble.HOME_MOVES) {
      changeView(troubleMs, other);
      changeView(troubleMs + 500 + random.nextInt(2_500), 0);
    } else if (trouble == Trouble.HOME_CUT_OFF) {
      instances.get(0).cutMs = troubleMs;
      changeView(troubleMs + LEASE_LEFT_MS, other);
    } else if (trouble == Trouble.FLEET_GROWS) {
      views.set(0, other);
      changeView(troubleMs, other + 1);
    } else if (trouble == Trouble.FLEET_SHRINKS) {
      instances.get(other).cutMs = troubleMs;
      changeView(troubleMs + LEASE_LEFT_MS, other);
    }
    for (long nowMs = START_MS - 3_000; nowMs < START_MS + coldMs; nowMs += STEP_MS) {
      if (trouble == Trouble.HOME_RESTARTS && Math.abs(nowMs - troubleMs) < STEP_MS) {
        instances.get(0).restart();
      }
      for (int i = 0; i < instances.size(); i++) {
        if (nowMs >= START_MS) {
          instances.get(i).step(i, nowMs);
        }
      }
    }
    Collections.sort(arrivalsMs);
    return arrivalsMs;
  }

  private void changeView(long ms, int view) {
    changeMs.add(ms);
    views.add(view);
  }

  long coldMs() {
    return coldMs;
  }
}
