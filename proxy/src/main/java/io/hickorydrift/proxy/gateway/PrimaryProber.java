package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Probes the primary of each group if its position has not been observed recently, and tracks for
 * how long it has been unreachable.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PrimaryProber {
  // Keeps observed positions several times fresher than the 1.5 s of staleness that reads accept.
  private static final long PROBE_AFTER_NANOS = 350_000_000L;
  // A home in another region learns positions with the heartbeats of the primary's home, every
  // 400 ms, when these are up to 350 ms old. It probes across regions only if a heartbeat is lost.
  private static final long DISTANT_PROBE_AFTER_NANOS = 1_000_000_000L;
  private static final long NO_PROBES = Long.MAX_VALUE;
  private static final long PROBE_TIMEOUT_NANOS = 350_000_000L;
  // A single failed probe may be due to its connection, not to the primary.
  private static final long UNAVAILABLE_AFTER_MS = 700;

  /** Results of the probes of one primary. */
  private static final class Reachability {
    private boolean probing;
    private long failingSinceNanos;
    private boolean failing;
  }

  private final EventLoop loop;
  private final Directory directory;
  private final TargetPools pools;
  private final Declarations declarations;
  private final HomeRouter homes;
  private final StartSteps steps;
  private final Map<TargetState, Reachability> reachabilityByTarget = new HashMap<>();

  PrimaryProber(
      EventLoop loop,
      Directory directory,
      TargetPools pools,
      Declarations declarations,
      HomeRouter homes,
      StartSteps steps) {
    this.steps = steps;
    this.homes = homes;
    this.loop = loop;
    this.directory = directory;
    this.pools = pools;
    this.declarations = declarations;
  }

  /** Returns for how long {@code target} has been unreachable; 0 if it is reachable. */
  long unreachableMs(TargetState target) {
    Reachability reachability = reachabilityByTarget.get(target);
    if (reachability == null || !reachability.failing) {
      return 0;
    }
    return Math.max(
        1, TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - reachability.failingSinceNanos));
  }

  void onTargetRemoved(TargetState target) {
    reachabilityByTarget.remove(target);
  }

  /** Records for each group whether it has a usable primary. */
  void updateRecoveryEstimators() {
    long nowNanos = loop.nowNanos();
    directory.groups().forEach(group -> updateRecoveryEstimator(group, group.primary(), nowNanos));
  }

  void tick(long nowNanos) {
    for (GroupState group : directory.groups()) {
      TargetState primary = group.primary();
      updateRecoveryEstimator(group, primary, nowNanos);
      long probeAfterNanos = probeAfterNanos(group.name());
      if (primary == null || probeAfterNanos == NO_PROBES) {
        continue;
      }
      if (primary.isEvacuated()) {
        // Its pool is drained. Failed probes would have it replaced as dead on its return.
        reachabilityByTarget.remove(primary);
        continue;
      }
      Reachability reachability =
          reachabilityByTarget.computeIfAbsent(primary, key -> new Reachability());
      boolean probeDue =
          group.observedPositions().ageNanos(nowNanos) > probeAfterNanos || reachability.failing;
      if (!reachability.probing && probeDue) {
        probe(group, primary, reachability);
      }
    }
  }

  /** Returns the age of the last observation after which this instance probes the primary. */
  private long probeAfterNanos(String group) {
    if (!declarations.current().groups().containsKey(group)) {
      return NO_PROBES;
    }
    if (homes.probesPrimary(group)) {
      return PROBE_AFTER_NANOS;
    }
    return homes.servesByLocality(group) ? DISTANT_PROBE_AFTER_NANOS : NO_PROBES;
  }

  private void updateRecoveryEstimator(GroupState group, TargetState primary, long nowNanos) {
    if (group.isEvacuated()) {
      // No change of primary is under way whose duration could be learned.
      return;
    }
    if (primary == null || unreachableMs(primary) > UNAVAILABLE_AFTER_MS) {
      group.recoveryEstimator().recordUnavailable(false, nowNanos);
    } else if (primary.isLeaving()) {
      group.recoveryEstimator().recordUnavailable(true, nowNanos);
    } else {
      group.recoveryEstimator().recordAvailable(nowNanos);
    }
  }

  private void probe(GroupState group, TargetState primary, Reachability reachability) {
    reachability.probing = true;
    long probeStartNanos = loop.nowNanos();
    TargetPool pool = pools.poolFor(primary);
    AcquireListener listener =
        new AcquireListener() {
          @Override
          public void acquired(TargetConnection connection) {
            sendProbe(group, primary, reachability, connection, probeStartNanos);
          }

          @Override
          public void refused(String reason) {
            probeCompleted(reachability, pool.receivedSince(probeStartNanos), probeStartNanos);
          }
        };
    pool.acquireAny(
        declarations.anyOrganisation(), probeStartNanos + PROBE_TIMEOUT_NANOS, listener);
  }

  private void sendProbe(
      GroupState group,
      TargetState primary,
      Reachability reachability,
      TargetConnection connection,
      long probeStartNanos) {
    long deadlineNanos = loop.nowNanos() + PROBE_TIMEOUT_NANOS;
    connection.run(
        new TargetCommand.Begin(false, null),
        deadlineNanos,
        reply -> {
          if (reply.ok()) {
            if (reply.position() != null) {
              group.observedPositions().add(reply.position(), reply.sentNanos());
              steps.record(StartSteps.Step.PRIMARY);
            }
            connection.run(
                new TargetCommand.Rollback(),
                deadlineNanos,
                end -> pools.poolFor(primary).release(connection));
          } else {
            pools.poolFor(primary).release(connection);
          }
          probeCompleted(
              reachability,
              !reply.lost() || pools.poolFor(primary).receivedSince(probeStartNanos),
              probeStartNanos);
        });
  }

  private static void probeCompleted(
      Reachability reachability, boolean reachable, long probeStartNanos) {
    reachability.probing = false;
    if (reachable) {
      reachability.failing = false;
    } else if (!reachability.failing) {
      reachability.failing = true;
      reachability.failingSinceNanos = probeStartNanos;
    }
  }
}
