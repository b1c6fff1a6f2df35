package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.warmup.ColdTargets;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashSet;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Applies the declared bounds on requests to cold targets: determines this instance's part of each
 * and asks {@link ColdTargets} before statements are sent.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class WarmUpLimits {
  // A member that is cut off is dropped from the fleet 3.5 s after that at the earliest, when its
  // lease ends; until then it must have stopped using its part.
  private static final long MAX_PROOF_AGE_MS = 3_000;

  private final EventLoop loop;
  private final Declarations declarations;
  private final Directory directory;
  private final HomeRouter homes;
  private final Regions regions;
  private final ColdTargets cold = new ColdTargets();
  private final Set<String> coldIds = new HashSet<>();

  WarmUpLimits(
      EventLoop loop,
      Declarations declarations,
      Directory directory,
      HomeRouter homes,
      Regions regions) {
    this.loop = loop;
    this.declarations = declarations;
    this.directory = directory;
    this.homes = homes;
    this.regions = regions;
  }

  /** Updates what is known of all targets. */
  void tick() {
    Set<String> ids = new HashSet<>();
    for (GroupState group : directory.groups()) {
      for (TargetState target : group.targets()) {
        ids.add(target.entry().id());
        update(target);
        logChange(target);
      }
    }
    coldIds.retainAll(ids);
    cold.retain(ids, loop.nowNanos());
  }

  private void update(TargetState target) {
    TargetEntry entry = target.entry();
    DeclaredGroup group = declarations.current().groups().get(entry.group());
    if (group == null || group.coldPerSecond() <= 0) {
      target.setWarm();
      return;
    }
    String home =
        homes.isDirect(entry.group())
            ? null
            : entry.group() + " " + regions.regionOf(entry.failureDomain());
    cold.update(
        target,
        group,
        home,
        share(entry, group.coldPerSecond()),
        loop.nowNanos(),
        loop.clock().timeOfDayMs());
  }

  private double share(TargetEntry entry, double perSecond) {
    long proofAgeMs = declarations.proofAgeMs();
    boolean inContact = proofAgeMs >= 0 && proofAgeMs <= MAX_PROOF_AGE_MS;
    return inContact ? homes.shareOfTarget(entry, perSecond) : 0;
  }

  private void logChange(TargetState target) {
    String id = target.entry().id();
    if (!target.isCold(loop.nowNanos())) {
      if (coldIds.remove(id)) {
        Logger.info("event=target_warm target={} group={}", id, target.entry().group());
      }
    } else if (coldIds.add(id)) {
      DeclaredGroup group = declarations.current().groups().get(target.entry().group());
      Logger.info(
          "event=target_cold target={} group={} left_ms={} bound_per_s={} share_per_s={}",
          id,
          group.name(),
          target.entry().coldRemainingMs(),
          group.coldPerSecond(),
          share(target.entry(), group.coldPerSecond()));
    }
  }

  /** Returns the number of cold targets whose requests are bounded. */
  int coldCount() {
    return coldIds.size();
  }

  /** Returns whether {@code target} may get {@code requests} more now. */
  boolean hasRoom(TargetState target, int requests) {
    if (target.isColdOutdated()) {
      update(target);
    }
    return cold.hasRoom(target, requests, loop.nowNanos());
  }

  /** Counts one request if there is room for {@code requests}, and returns whether there is. */
  boolean tryTake(TargetState target, int requests) {
    if (target.isColdOutdated()) {
      update(target);
    }
    return cold.tryTake(target, requests, loop.nowNanos());
  }

  /** Counts a statement of an open transaction. */
  void record(TargetState target) {
    cold.record(target, loop.nowNanos());
  }

  /** Counts the request that was taken at {@code takenNanos} as sent now. */
  void move(TargetState target, long takenNanos) {
    cold.move(target, takenNanos, loop.nowNanos());
  }
}
