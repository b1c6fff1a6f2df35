package io.hickorydrift.core.warmup;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.TargetState;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which requests may go to targets that are slow after their start. Load pattern: targets
 * return after an evacuation or a loss of power, and all callers with them; beyond a few requests a
 * second a cold target answers none in time.
 *
 * <p>Invariant: a request outside a transaction, and the begin of a transaction, go to a cold
 * target only within this instance's part of the bound. Statements of open transactions are
 * counted, but never held back. Thread safety: confined to one thread.
 */
public final class ColdTargets {
  // Longer than the window of any usual bound; after that, the requests to a target that has left
  // cannot matter to one that returns under its id.
  private static final long FORGET_NANOS = 60_000_000_000L;

  private static final class Target {
    private final ColdPeriod period = new ColdPeriod();
    private final SlidingSecondLimiter limiter = new SlidingSecondLimiter();
    private final WarmUpShare own = new WarmUpShare();
    private WarmUpShare share = own;

    private void use(WarmUpShare other, long nowNanos) {
      if (share != other) {
        // The part that is no longer used must not be usable at once when it is due again.
        share.update(0, nowNanos);
        share = other;
      }
    }
  }

  private final Map<String, Target> targets = new HashMap<>();
  private final Map<String, WarmUpShare> shares = new HashMap<>();

  /**
   * Updates what is known of {@code target}. It has to be called regularly, also while the target
   * is warm, so that the wait after a change of the home does not begin with the target's start.
   *
   * @param group its declared group, or null if it is not declared
   * @param home names what the instance is the home of, since targets of one home share one wait
   *     after a change; null if the instance has a part of its own for each target
   * @param sharePerSecond this instance's part of the bound; 0 if other instances have all of it
   * @param timeOfDayMs time of day, in milliseconds since 1970
   */
  public void update(
      TargetState target,
      DeclaredGroup group,
      String home,
      double sharePerSecond,
      long nowNanos,
      long timeOfDayMs) {
    if (group == null || group.coldPerSecond() <= 0) {
      target.setWarm();
      return;
    }
    Target known = targets.computeIfAbsent(target.entry().id(), id -> new Target());
    known.period.note(target.entry(), group.coldDurationMs(), nowNanos, timeOfDayMs);
    WarmUpShare share =
        home == null ? known.own : shares.computeIfAbsent(home, name -> new WarmUpShare());
    known.use(share, nowNanos);
    share.update(sharePerSecond, nowNanos);
    target.setColdUntil(known.period.endNanos());
  }

  /**
   * Returns the part of the bound {@code perSecond} that one of several instances has, which all
   * have connections to the target.
   *
   * @param rank place of the instance in an order that all instances agree on, from 0
   */
  public static double shareOf(double perSecond, int rank, int instances) {
    return WarmUpShare.of(perSecond, rank, instances);
  }

  /**
   * Returns whether {@code target} may get {@code requests} more: it is warm, or they are within
   * the bound.
   */
  public boolean hasRoom(TargetState target, int requests, long nowNanos) {
    if (!target.isCold(nowNanos)) {
      return true;
    }
    Target known = targets.get(target.entry().id());
    return known != null
        && known.limiter.hasRoom(known.share.usablePerSecond(), requests, nowNanos);
  }

  /** Counts one request if there is room for {@code requests}, and returns whether there is. */
  public boolean tryTake(TargetState target, int requests, long nowNanos) {
    if (!hasRoom(target, requests, nowNanos)) {
      return false;
    }
    record(target, nowNanos);
    return true;
  }

  /** Counts a statement of an open transaction. */
  public void record(TargetState target, long nowNanos) {
    Target known = target.isCold(nowNanos) ? targets.get(target.entry().id()) : null;
    if (known != null) {
      known.limiter.record(nowNanos);
    }
  }

  /** Counts the request that was taken at {@code takenNanos} as sent now. */
  public void move(TargetState target, long takenNanos, long nowNanos) {
    Target known = target.isCold(nowNanos) ? targets.get(target.entry().id()) : null;
    if (known != null) {
      known.limiter.move(takenNanos, nowNanos);
    }
  }

  /** Forgets targets that are not in {@code ids} and got no request for a while. */
  public void retain(Set<String> ids, long nowNanos) {
    targets
        .entrySet()
        .removeIf(
            each ->
                !ids.contains(each.getKey())
                    && each.getValue().limiter.isIdleSince(nowNanos - FORGET_NANOS));
  }
}
