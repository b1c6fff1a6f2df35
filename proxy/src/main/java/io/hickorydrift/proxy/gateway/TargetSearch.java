package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.admission.HoldPolicy;
import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Finds a connection for a statement. Tries one target after another until one accepts the
 * statement, or until {@link HoldPolicy} refuses it.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class TargetSearch {
  /** Receives the results of a search. */
  interface Listener {
    /**
     * Offers a connection to run the statement on. {@code atLeast} is the position that the
     * target's log must have reached; null means that only a target that proves to be the primary
     * may run it.
     */
    void found(TargetConnection connection, Position atLeast);

    /**
     * Returns the number of requests that a cold target must have room for: a transaction holds its
     * connection until it ends, so there has to be room for its commit as well.
     */
    default int requestsAtOnce() {
      return 1;
    }

    /** Returns whether the statement is tried at another target if this one does not answer. */
    default boolean isRepeatable() {
      return false;
    }

    /** Reports that no target can run the statement. The search itself has sent nothing. */
    void exhausted(String reason);
  }

  /** Reason of a refusal because the targets that could run the statement are not allowed to. */
  static final String NO_ALLOWED_TARGET = "no target in an allowed region";

  // Targets of the allowed regions return with the next promotion or start, which takes seconds.
  private static final long NO_ALLOWED_TARGET_RETRY_MS = 1_000;
  private static final String TARGET_IS_COLD = "target is slow after its start";
  // The bound on the requests to a cold target is one for each second.
  private static final long COLD_RETRY_MS = 1_000;
  private static final String NOTHING_TRIED = "no target can run the statement";
  private static final String WAIT_TOO_LONG = "the wait for a slot would be too long";
  private static final long BACKOFF_BASE_MS = 15;
  private static final long MAX_BACKOFF_MS = 120;
  // Covers the time from the arrival of a statement's first byte until this instance reads it.
  private static final long STALENESS_MARGIN_NANOS = 150_000_000L;

  private final GatewayContext context;
  private final Route route;
  private final String organisation;
  private final AllowedRegions allowed;
  private final String statementId;
  private final boolean replicasAllowed;
  private final Position lastCommit;
  private final long receivedNanos;
  private final long deadlineNanos;
  private final HoldPolicy hold;
  private final Listener listener;
  private final Set<String> triedTargets = new HashSet<>();
  private String lastFailureReason = NOTHING_TRIED;
  private int backoffs;
  private boolean heldBackByCold;
  private boolean countedAsDelayed;
  private final SearchRefusals refusals;
  // The request that waits for a connection, and the timer of a backoff; at most one is set.
  private AcquireListener waiting;
  private TargetPool waitingAt;
  private EventLoop.Timer backoff;

  TargetSearch(
      GatewayContext context,
      OperationScope scope,
      String statementId,
      boolean replicasAllowed,
      Position lastCommit,
      long receivedNanos,
      Listener listener) {
    this.context = context;
    route = scope.route();
    organisation = scope.organisation();
    allowed = scope.allowed();
    this.statementId = statementId;
    this.replicasAllowed = replicasAllowed && route.consistency() != Consistency.PRIMARY;
    this.lastCommit = lastCommit;
    this.receivedNanos = receivedNanos;
    this.listener = listener;
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs());
    deadlineNanos = receivedNanos + timeoutNanos;
    hold = new HoldPolicy(route.statementTimeoutMs());
    refusals = new SearchRefusals(route, statementId);
  }

  /** Tries the next target. */
  void tryNext() {
    long nowNanos = context.loop().nowNanos();
    if (deadlineNanos - nowNanos < 0) {
      listener.exhausted(lastFailureReason);
      return;
    }
    GroupState group = context.directory().group(route.group());
    if (allowed.restricted() && !hasAllowedTarget(group)) {
      refuseForRegion();
      return;
    }
    String evacuated = context.evacuations().refusalReason(group);
    if (evacuated != null) {
      refuse(group, evacuated);
      return;
    }
    heldBackByCold = false;
    Position atLeast = replicasAllowed ? lowerBound(group) : null;
    TargetState target =
        atLeast == null
            ? untriedPrimary(group)
            : context
                .placement()
                .choose(
                    group,
                    organisation,
                    atLeast,
                    triedTargets,
                    this::mayRun,
                    context.pools().connectionsOf(organisation, listener.isRepeatable()),
                    nowNanos);
    if (target == null && atLeast != null) {
      atLeast = null;
      target = untriedPrimary(group);
    }
    if (target == null) {
      backOff();
      return;
    }
    acquire(target, atLeast);
  }

  /**
   * Ends the search if it waits for a connection or for its next try, so that nothing of the
   * statement is at a target. Returns whether it did; the listener is not told.
   */
  boolean cancel() {
    if (backoff != null) {
      backoff.cancel();
      backoff = null;
      return true;
    }
    return waiting != null && waitingAt.cancel(waiting);
  }

  private boolean isAllowed(TargetState target) {
    return allowed.allowsTarget(context.regionOf(target));
  }

  private boolean mayRun(TargetState target) {
    if (!isAllowed(target)) {
      return false;
    }
    boolean room = context.warmUps().hasRoom(target, listener.requestsAtOnce());
    heldBackByCold |= !room;
    return room;
  }

  /**
   * Counts a request to the target of {@code connection} just before it is sent. If the target is
   * cold and has no room for it, releases the connection, tries another target and returns false.
   */
  boolean tryTake(TargetConnection connection) {
    if (context.warmUps().tryTake(connection.target(), listener.requestsAtOnce())) {
      return true;
    }
    context.pool(connection.target()).release(connection);
    attemptFailed(TARGET_IS_COLD);
    return false;
  }

  /**
   * Returns whether a target of the allowed regions can run the statement, or may become able to do
   * so soon: a primary that is unreachable is replaced.
   */
  private boolean hasAllowedTarget(GroupState group) {
    TargetState primary = group.primary();
    if (primary != null && isAllowed(primary) || group.targets().isEmpty()) {
      return true;
    }
    if (primary != null && !replicasAllowed) {
      return false;
    }
    for (TargetState target : group.targets()) {
      // Without a primary, any target of the allowed regions may be promoted.
      if (isAllowed(target) && (primary == null || isUsable(target))) {
        return true;
      }
    }
    return false;
  }

  private void refuseForRegion() {
    context
        .requestLog()
        .logDecision(
            "-",
            "decision=refused organisation={} group={} code=BUSY allowed_regions={} reason=\"{}\"",
            organisation,
            route.group(),
            String.join(",", new TreeSet<>(allowed.regions())),
            NO_ALLOWED_TARGET);
    context.metrics().recordRefusedForRegion();
    listener.exhausted(NO_ALLOWED_TARGET + "; retry in " + NO_ALLOWED_TARGET_RETRY_MS + " ms");
  }

  private TargetState untriedPrimary(GroupState group) {
    TargetState primary = group.primary();
    boolean eligible =
        isUsable(primary)
            && mayRun(primary)
            && group.recoveryEstimator().expectedRecoveryMs(context.loop().nowNanos()) == 0
            && !triedTargets.contains(primary.entry().id() + "/proven");
    if (!eligible) {
      noteUnusablePrimary(primary);
      return null;
    }
    return primary;
  }

  /** Gives the reason for a refusal unless a target has already given one. */
  private void noteUnusablePrimary(TargetState primary) {
    if (primary == null) {
      lastFailureReason = "no primary";
    } else if (lastFailureReason.equals(NOTHING_TRIED)) {
      lastFailureReason = unusablePrimaryReason(primary);
    }
  }

  private String unusablePrimaryReason(TargetState primary) {
    if (!isAllowed(primary)) {
      return NO_ALLOWED_TARGET;
    }
    if (isUsable(primary) && !mayRun(primary)) {
      return TARGET_IS_COLD;
    }
    return isUsable(primary) ? "primary is being replaced" : "primary is unreachable or leaving";
  }

  private Position lowerBound(GroupState group) {
    long sinceNanos =
        receivedNanos
            - TimeUnit.MILLISECONDS.toNanos(route.stalenessBoundMs())
            + STALENESS_MARGIN_NANOS;
    Position bound = group.observedPositions().lowerBound(sinceNanos);
    if (bound == null || lastCommit == null) {
      return bound;
    }
    return Positions.later(bound, lastCommit);
  }

  private void acquire(TargetState target, Position atLeast) {
    triedTargets.add(atLeast == null ? target.entry().id() + "/proven" : target.entry().id());
    waitingAt = context.pool(target);
    waiting = acquireListener(target, atLeast);
    waitingAt.acquire(
        waitingRequest(target),
        TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMs()),
        refusals.unitHash(),
        waiting);
  }

  /**
   * Offers a connection in place of {@code connection}, on which rows of a write might be taken for
   * earlier ones, or earlier ones for its rows.
   */
  void exchangeForWrite(TargetConnection connection, Position atLeast) {
    TargetState target = connection.target();
    waitingAt = context.pool(target);
    waiting = acquireListener(target, atLeast);
    waitingAt.exchangeForWrite(connection, waiting);
  }

  private AcquireListener acquireListener(TargetState target, Position atLeast) {
    return new AcquireListener() {
      @Override
      public void acquired(TargetConnection connection) {
        waiting = null;
        if (deadlineNanos - context.loop().nowNanos() < 0) {
          context.pool(target).release(connection);
          attemptFailed("no connection in time");
        } else {
          listener.found(connection, atLeast);
        }
      }

      @Override
      public void refused(String reason) {
        waiting = null;
        attemptFailed(reason);
      }

      @Override
      public void refusedAtOnce(WaitRefusal refusal) {
        waiting = null;
        targetRefused(target, refusal);
      }
    };
  }

  /** Tries another target; if there is none, the statement is refused without a further try. */
  private void targetRefused(TargetState target, WaitRefusal refusal) {
    context
        .requestLog()
        .logDecision(
            statementId,
            "decision=refused target={} predicted_wait_ms={} waiting={} window={} retry_ms={}",
            target.entry().id(),
            refusal.predictedWaitMs(),
            refusal.waiting(),
            refusal.window(),
            refusal.retryAfterMs());
    refusals.add(context.pool(target), refusal.retryAfterMs());
    attemptFailed(WAIT_TOO_LONG);
  }

  private WaitingRequest waitingRequest(TargetState target) {
    return new WaitingRequest(
        organisation,
        route.priority(),
        context.loop().nowNanos(),
        receivedNanos,
        TimeUnit.MILLISECONDS.toNanos(route.objectiveMs()),
        acquireDeadlineNanos(),
        (long) target.averageAnswerNanos());
  }

  private long acquireDeadlineNanos() {
    long untilNanos = context.loop().nowNanos() + TimeUnit.MILLISECONDS.toNanos(hold.holdMs());
    return untilNanos - deadlineNanos < 0 ? untilNanos : deadlineNanos;
  }

  /** Records why the last target did not complete the statement, and tries another one. */
  void attemptFailed(String reason) {
    lastFailureReason = reason;
    tryNext();
  }

  private long backoffMs() {
    backoffs++;
    return Math.min(MAX_BACKOFF_MS, BACKOFF_BASE_MS << (backoffs - 1));
  }

  /** Tries all targets again after a backoff, or ends the search if that is hopeless. */
  private void backOff() {
    if (refusals.hasAny()) {
      listener.exhausted(WAIT_TOO_LONG + "; retry in " + refusals.retryAfterMs() + " ms");
      return;
    }
    long nowNanos = context.loop().nowNanos();
    GroupState group = context.directory().group(route.group());
    boolean usable = hasUsableTarget(group);
    long refuseAfterMs =
        hold.refuseAfterMs(
            usable,
            group.recoveryEstimator().expectedRecoveryAfterFailureMs(nowNanos),
            TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos));
    if (heldBackByCold) {
      recordHeldBack(refuseAfterMs != HoldPolicy.HOLD);
    }
    if (refuseAfterMs != HoldPolicy.HOLD && heldBackByCold) {
      listener.exhausted(TARGET_IS_COLD + "; retry in " + COLD_RETRY_MS + " ms");
      return;
    }
    if (refuseAfterMs != HoldPolicy.HOLD) {
      long retryMs = usable ? refusals.retryAfterMs(waitingAt, refuseAfterMs) : refuseAfterMs;
      refuse(group, lastFailureReason + "; retry in " + retryMs + " ms");
      return;
    }
    backoff =
        context
            .loop()
            .after(
                backoffMs(),
                () -> {
                  backoff = null;
                  triedTargets.clear();
                  tryNext();
                });
  }

  private void refuse(GroupState group, String reason) {
    context.evacuations().recordRefusal(group);
    listener.exhausted(reason);
  }

  private void recordHeldBack(boolean refused) {
    if (refused) {
      context.metrics().recordRefusedByCold();
      context
          .requestLog()
          .logDecision(
              "-",
              "decision=refused organisation={} group={} code=BUSY reason=\"{}\"",
              organisation,
              route.group(),
              TARGET_IS_COLD);
    } else if (!countedAsDelayed) {
      countedAsDelayed = true;
      context.metrics().recordDelayedByCold();
    }
  }

  private boolean hasUsableTarget(GroupState group) {
    long nowNanos = context.loop().nowNanos();
    TargetState primary = group.primary();
    if (isUsable(primary)
        && isAllowed(primary)
        && group.recoveryEstimator().expectedRecoveryMs(nowNanos) == 0) {
      return true;
    }
    if (!replicasAllowed || lowerBound(group) == null) {
      return false;
    }
    for (TargetState target : group.targets()) {
      if (target != primary && isUsable(target) && isAllowed(target)) {
        return true;
      }
    }
    return false;
  }

  private boolean isUsable(TargetState target) {
    return target != null && target.acceptsNewWork() && !context.pool(target).isUnreachable();
  }
}
