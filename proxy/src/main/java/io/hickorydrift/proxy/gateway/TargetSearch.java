package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds a connection for a statement, one target after another, until one takes it or the time for
 * holding the statement is over.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class TargetSearch {
  /** What becomes of a search. */
  interface Listener {
    /**
     * A connection to try on. {@code atLeast} is the position that its log must have; null means
     * that only a primary that proves its lead may run the statement.
     */
    void found(TargetConnection connection, Position atLeast);

    /** No target can take it; nothing was sent. */
    void exhausted(String reason);
  }

  // Longer than the usual wait for a slot or a connection; a change of primary takes far longer.
  private static final long HOLD_NANOS = 400_000_000L;
  private static final long FIRST_PAUSE_MS = 15;
  private static final long MAX_PAUSE_MS = 120;
  // Covers the time between a caller's first byte and its being read here.
  private static final long STALENESS_MARGIN_NANOS = 150_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final String organisation;
  private final boolean replicasAllowed;
  private final Position ownCommit;
  private final long receivedNanos;
  private final long giveUpNanos;
  private final long deadlineNanos;
  private final Listener listener;
  private final Set<String> tried = new HashSet<>();
  private String lastReason = "no target announced";
  private int pauses;

  TargetSearch(
      GatewayContext context,
      Route route,
      String organisation,
      boolean replicasAllowed,
      Position ownCommit,
      long receivedNanos,
      Listener listener) {
    this.context = context;
    this.route = route;
    this.organisation = organisation;
    this.replicasAllowed = replicasAllowed && route.consistency() != Consistency.PRIMARY;
    this.ownCommit = ownCommit;
    this.receivedNanos = receivedNanos;
    this.listener = listener;
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    deadlineNanos = receivedNanos + timeoutNanos;
    giveUpNanos = receivedNanos + Math.min(timeoutNanos, HOLD_NANOS);
  }

  /** Looks for the next target. */
  void tryNext() {
    long nowNanos = context.loop().nowNanos();
    if (deadlineNanos - nowNanos < 0) {
      listener.exhausted(lastReason);
      return;
    }
    GroupState group = context.directory().group(route.group());
    Position atLeast = replicasAllowed ? lowerBound(group) : null;
    TargetState target =
        atLeast == null
            ? untriedPrimary(group)
            : context
                .placement()
                .choose(
                    group, atLeast, tried, t -> context.pool(t).hasIdle(organisation), nowNanos);
    if (target == null && atLeast != null) {
      atLeast = null;
      target = untriedPrimary(group);
    }
    if (target == null) {
      pause();
      return;
    }
    acquire(target, atLeast);
  }

  private TargetState untriedPrimary(GroupState group) {
    TargetState primary = group.primary();
    boolean usable =
        primary != null
            && !primary.entry().draining()
            && group.recoveryEstimator().expectedRecoveryMs(context.loop().nowNanos()) == 0
            && !tried.contains(primary.entry().id() + "/proven");
    if (!usable) {
      lastReason = primary == null ? "no primary" : lastReason;
      return null;
    }
    return primary;
  }

  private Position lowerBound(GroupState group) {
    long sinceNanos =
        receivedNanos
            - TimeUnit.MILLISECONDS.toNanos(route.stalenessBoundMs())
            + STALENESS_MARGIN_NANOS;
    Position bound = group.observedPositions().lowerBound(sinceNanos);
    if (bound == null || ownCommit == null) {
      return bound;
    }
    return Positions.later(bound, ownCommit);
  }

  private void acquire(TargetState target, Position atLeast) {
    tried.add(atLeast == null ? target.entry().id() + "/proven" : target.entry().id());
    context
        .pool(target)
        .acquire(
            organisation,
            route.priority(),
            waitUntilNanos(),
            new TargetPool.AcquireListener() {
              @Override
              public void acquired(TargetConnection connection) {
                listener.found(connection, atLeast);
              }

              @Override
              public void refused(String reason) {
                attemptFailed(reason);
              }
            });
  }

  private long waitUntilNanos() {
    long untilNanos = context.loop().nowNanos() + HOLD_NANOS;
    return untilNanos - deadlineNanos < 0 ? untilNanos : deadlineNanos;
  }

  /** The last target did not run the statement; looks for another. */
  void attemptFailed(String reason) {
    lastReason = reason;
    tryNext();
  }

  private long pauseMs() {
    pauses++;
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << pauses);
  }

  private void pause() {
    long backInMs =
        context
            .directory()
            .group(route.group())
            .recoveryEstimator()
            .expectedRecoveryMs(context.loop().nowNanos());
    if (backInMs > TimeUnit.NANOSECONDS.toMillis(HOLD_NANOS)) {
      listener.exhausted(lastReason + "; come back in " + backInMs + " ms");
      return;
    }
    if (giveUpNanos - context.loop().nowNanos() < 0) {
      listener.exhausted(lastReason);
      return;
    }
    context
        .loop()
        .after(
            pauseMs(),
            () -> {
              tried.clear();
              tryNext();
            });
  }
}
