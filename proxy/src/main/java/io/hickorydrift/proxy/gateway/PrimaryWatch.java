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
 * Looks at each group's primary when traffic has not shown its position for a while, and notes how
 * long it could not be reached.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PrimaryWatch {
  // Reads that accept 1.5 s find sightings several times as fresh.
  private static final long LOOK_AFTER_NANOS = 350_000_000L;
  private static final long LOOK_TIMEOUT_NANOS = 350_000_000L;
  private static final int MOST_URGENT = 0;
  // One look that failed may be the connection's fault.
  private static final long SUSPECT_MS = 700;

  /** What is known of one primary. */
  private static final class Reach {
    private boolean looking;
    private long failingSinceNanos;
    private boolean failing;
  }

  private final EventLoop loop;
  private final Directory directory;
  private final Pools pools;
  private final Declarations declarations;
  private final Homes homes;
  private final Map<TargetState, Reach> reaches = new HashMap<>();

  PrimaryWatch(
      EventLoop loop, Directory directory, Pools pools, Declarations declarations, Homes homes) {
    this.homes = homes;
    this.loop = loop;
    this.directory = directory;
    this.pools = pools;
    this.declarations = declarations;
  }

  /** Returns how long {@code target} could not be reached; 0 if it can. */
  long unreachableMs(TargetState target) {
    Reach reach = reaches.get(target);
    if (reach == null || !reach.failing) {
      return 0;
    }
    return Math.max(1, TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - reach.failingSinceNanos));
  }

  void removed(TargetState target) {
    reaches.remove(target);
  }

  void tick(long nowNanos) {
    for (GroupState group : directory.groups()) {
      TargetState primary = group.primary();
      note(group, primary, nowNanos);
      boolean declared =
          declarations.current().groups().containsKey(group.name()) && homes.serves(group.name());
      if (primary == null || !declared) {
        continue;
      }
      Reach reach = reaches.computeIfAbsent(primary, key -> new Reach());
      boolean due = group.sightings().ageNanos(nowNanos) > LOOK_AFTER_NANOS || reach.failing;
      if (!reach.looking && due) {
        look(group, primary, reach);
      }
    }
  }

  private void note(GroupState group, TargetState primary, long nowNanos) {
    if (primary == null || unreachableMs(primary) > SUSPECT_MS) {
      group.outlook().recordUnavailable(false, nowNanos);
    } else if (primary.entry().draining()) {
      group.outlook().recordUnavailable(true, nowNanos);
    } else {
      group.outlook().recordAvailable(nowNanos);
    }
  }

  private void look(GroupState group, TargetState primary, Reach reach) {
    reach.looking = true;
    long startNanos = loop.nowNanos();
    String organisation = anyOrganisation();
    TargetPool pool = pools.of(primary);
    TargetPool.Waiter waiter =
        new TargetPool.Waiter() {
          @Override
          public void granted(TargetConnection connection) {
            ask(group, primary, reach, connection, startNanos);
          }

          @Override
          public void refused(String reason) {
            done(reach, pool.heardSince(startNanos), startNanos);
          }
        };
    TargetConnection idle = pool.anyIdle();
    if (idle != null) {
      waiter.granted(idle);
    } else {
      pool.acquire(organisation, MOST_URGENT, startNanos + LOOK_TIMEOUT_NANOS, waiter);
    }
  }

  private String anyOrganisation() {
    return declarations.current().organisations().keySet().stream().findFirst().orElse("-");
  }

  private void ask(
      GroupState group,
      TargetState primary,
      Reach reach,
      TargetConnection connection,
      long startNanos) {
    long untilNanos = loop.nowNanos() + LOOK_TIMEOUT_NANOS;
    connection.run(
        new TargetCommand.Begin(false, null),
        untilNanos,
        reply -> {
          if (reply.ok()) {
            if (reply.position() != null) {
              group.sightings().add(reply.position(), reply.sentNanos());
            }
            connection.run(
                new TargetCommand.Rollback(),
                untilNanos,
                end -> pools.of(primary).release(connection));
          } else {
            pools.of(primary).release(connection);
          }
          done(reach, !reply.lost() || pools.of(primary).heardSince(startNanos), startNanos);
        });
  }

  private static void done(Reach reach, boolean reached, long startNanos) {
    reach.looking = false;
    if (reached) {
      reach.failing = false;
    } else if (!reach.failing) {
      reach.failing = true;
      reach.failingSinceNanos = startNanos;
    }
  }
}
