package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.ReadPlacement;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TextBudget;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.CallerCodec;
import java.util.function.Consumer;

/**
 * Components that the sessions of an instance share.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
record GatewayContext(
    EventLoop loop,
    CallerCodec callerCodec,
    Declarations declarations,
    Directory directory,
    ReadPlacement placement,
    TargetPools pools,
    OrganisationRateLimiter limits,
    RequestLog requestLog,
    Metrics metrics,
    HomeRouter homes,
    CommitConfirmations confirmations,
    Regions regions,
    EvacuationService evacuations,
    WarmUpLimits warmUps,
    TargetOutcomes outcomes,
    SessionOpenings openings,
    TextBudget sessionTexts) {
  private static final String UNCONFIRMED_REASON = "no replica confirmed the commit in time";

  /** Returns the retries of reads. */
  ReadRetries readRetries() {
    return new ReadRetries(directory, metrics);
  }

  /** Returns the connection pool of {@code target}. */
  TargetPool pool(TargetState target) {
    return pools.poolFor(target);
  }

  /** Records the latency of an answered request of {@code organisation}. */
  void recordRequest(String organisation, String database, StatementOutcome outcome, long nanos) {
    String result = outcome.failure() == null ? "OK" : outcome.failure().name();
    metrics.recordRequest(organisation, database, result, nanos);
  }

  /** Returns the region of {@code target}. */
  String regionOf(TargetState target) {
    return regions.regionOf(target.entry().failureDomain());
  }

  /** Records the position in {@code reply}, which the group's primary sent. */
  void recordPrimaryPosition(GroupState group, TargetReply reply) {
    if (reply.position() != null) {
      group.observedPositions().add(reply.position(), reply.sentNanos());
    }
  }

  /**
   * Records a write or commit that the primary has applied. Completes it once it may be
   * acknowledged, or as in doubt once its deadline has passed.
   */
  void acknowledge(
      TargetReply reply,
      String group,
      String organisation,
      SessionData session,
      long deadlineNanos,
      Consumer<StatementOutcome> onOutcome) {
    GroupState state = directory.group(group);
    recordPrimaryPosition(state, reply);
    session.recordCommit(group, reply.position());
    confirmations.confirm(
        state,
        organisation,
        reply.position(),
        deadlineNanos,
        confirmed ->
            onOutcome.accept(
                confirmed
                    ? StatementOutcome.of(reply, SessionState.IDLE)
                    : StatementOutcome.failed(
                        FailureCode.IN_DOUBT, UNCONFIRMED_REASON, SessionState.IDLE)));
  }
}
