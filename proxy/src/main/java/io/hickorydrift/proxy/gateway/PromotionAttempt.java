package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.LogHolders;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.promotion.DurableChoice;
import io.hickorydrift.core.promotion.PositionSurvey;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import io.hickorydrift.core.promotion.PromotionCandidates;
import io.hickorydrift.core.promotion.ReplicaHold;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.PromotionClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One attempt to replace the primary of a group: acquires the promotion lease, collects the
 * positions that the replicas have received, requests the promotion of the most advanced one, and
 * waits until it is the primary.
 *
 * <p>Where commits are acknowledged only once replicas have received them, the replicas are
 * surveyed until {@link DurableChoice} shows that no such commit is lost, for up to {@link
 * #MAX_DURABLE_WAIT_MS}, and further until the request is carried out: it is repeated only while no
 * other log is ahead of the candidate's. Before the request, as many of the other replicas are
 * paused as {@link ReplicaHold} demands, so that the primary and other instances can acknowledge
 * nothing that the candidate lacks. A target that is leaving may be promoted then; the attempt goes
 * on to replace it in its turn, under the same lease.
 *
 * <p>Invariant: promotion requests carry the fence of this lease; after a refusal no further
 * request is sent under it. A request without a response may still be carried out, so it is retried
 * only for the same target, and the replicas stay paused if the attempt ends before its outcome is
 * known ({@link #leavesRequest}). One survey of the replicas is under way at a time. Thread safety:
 * confined to the loop's thread.
 */
final class PromotionAttempt {
  private static final long SURVEY_TIMEOUT_MS = 300;
  private static final long CATCH_UP_TIMEOUT_MS = 1_500;
  private static final long POLL_INTERVAL_MS = 40;
  private static final long REQUEST_RETRY_MS = 1_500;
  private static final long ATTEMPT_TIMEOUT_MS = 8_000;
  // A leaving primary that is reachable reports by then; a replica that stays has to reach its log.
  private static final long PRIMARY_REPORT_MS = 500;
  private static final long HOLD_TIMEOUT_MS = 2_500;
  // Slow targets report by then, so that the most advanced of several is taken after the bound.
  private static final long REPORTS_MS = 1_000;
  // By then a replica that another instance reaches should be surveyed by that one.
  private static final long SURVEY_TURN_MS = 2_500;

  /**
   * Time for which a group goes without a primary rather than lose a commit. A target that was
   * slow, cut off or restarted has reported by then, or is taken to be lost.
   */
  static final long MAX_DURABLE_WAIT_MS = TimeUnit.NANOSECONDS.toMillis(LogHolders.RETURN_NANOS);

  private final EventLoop loop;
  private final PromotionClient promotionClient;
  private final PositionQueries queries;
  private final PromotionLease lease;
  private final String self;
  private final PromotionNeed need;
  private final GroupState group;
  private PrimaryVerdict verdict;
  private long startedNanos;
  private TargetState oldPrimary;
  private DurableSurvey durableSurvey;
  private TargetState chosen;
  private long chosenNanos;
  private Position chosenPosition;
  private boolean chosenIsLeaving;
  private HeldReplicas held;
  private long newestTerm;
  private boolean requested;
  private boolean chosenRequested;
  private RequestOutcomes outcomes = new RequestOutcomes();
  // Whether replicas were paused before this attempt paused any.
  private boolean foundPaused;
  private boolean hasPaused;
  private boolean leaseHeldByAnother;
  private boolean surveyIncomplete;
  private boolean succeeded;
  private boolean ended;

  PromotionAttempt(PromotionServices services, PromotionNeed need) {
    loop = services.loop();
    promotionClient = services.promotionClient();
    queries = new PositionQueries(loop, services.pools(), services.declarations());
    self = services.self();
    this.need = need;
    group = need.group();
    verdict = need.verdict();
    startedNanos = loop.nowNanos();
    oldPrimary = group.primary();
    lease =
        new PromotionLease(
            loop,
            services.store(),
            group.name(),
            self,
            new PromotionLease.Listener() {
              @Override
              public void acquired() {
                onLeaseAcquired();
              }

              @Override
              public void ended(String reason, boolean heldByAnother) {
                leaseHeldByAnother = heldByAnother;
                end(reason);
              }
            });
  }

  boolean ended() {
    return ended;
  }

  /** Returns the fencing token of the attempt's requests, 0 before it has one. */
  long fence() {
    return lease.fence();
  }

  /** Returns whether the attempt ended because another instance holds the promotion lease. */
  boolean leaseHeldByAnother() {
    return leaseHeldByAnother;
  }

  /** Returns whether the attempt ended because too few replicas reported to this instance. */
  boolean surveyIncomplete() {
    return surveyIncomplete;
  }

  /**
   * Returns whether a request of this attempt, or of an earlier one, may still be carried out after
   * the end of the attempt.
   */
  boolean leavesRequest() {
    return outcomes.mayTakeEffect() || foundPaused;
  }

  /** Returns whether the attempt has replaced the primary, so that older requests are refused. */
  boolean succeeded() {
    return succeeded;
  }

  void start() {
    lease.acquire();
  }

  private void onLeaseAcquired() {
    Logger.info("event=promotion_lease_acquired group={} fence={}", group.name(), lease.fence());
    if (isDurable()) {
      beginDurableSurvey();
    } else {
      surveyReplicas();
    }
  }

  /** Returns whether commits are acknowledged only once replicas have received them. */
  private boolean isDurable() {
    return need.syncReplicas().getAsInt() > 0;
  }

  private void surveyReplicas() {
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn()) {
      return;
    }
    List<TargetState> replicas = new ArrayList<>(group.targets());
    replicas.remove(oldPrimary);
    replicas.removeIf(TargetState::isLeaving);
    PositionSurvey survey = new PositionSurvey(replicas);
    EventLoop.Timer timeout =
        loop.after(
            SURVEY_TIMEOUT_MS,
            () -> {
              if (survey.conclude()) {
                chooseCandidate(survey.received());
              }
            });
    for (TargetState replica : replicas) {
      queries.query(
          replica,
          SURVEY_TIMEOUT_MS,
          position -> {
            if (survey.report(replica, position)) {
              timeout.cancel();
              chooseCandidate(survey.received());
            }
          });
    }
  }

  private void chooseCandidate(Map<TargetState, Position> received) {
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn()) {
      return;
    }
    if (isDurable()) {
      // Declared since the attempt began.
      beginDurableSurvey();
      return;
    }
    TargetState candidate = PromotionCandidates.mostAdvanced(received, loop.nowNanos());
    if (candidate == null || !caughtUp(received.get(candidate))) {
      loop.after(POLL_INTERVAL_MS, this::surveyReplicas);
      return;
    }
    choose(candidate, received.get(candidate));
    requestPromotion();
  }

  private void choose(TargetState candidate, Position position) {
    chosen = candidate;
    chosenNanos = loop.nowNanos();
    chosenPosition = position;
    chosenIsLeaving = candidate.isLeaving();
  }

  private void beginDurableSurvey() {
    DurableChoice choice = new DurableChoice(group, need.syncReplicas().getAsInt(), oldPrimary);
    durableSurvey = new DurableSurvey(loop, queries, choice, this::onReport);
    logSurvey("begun");
    pollDurableSurvey(durableSurvey);
  }

  private void pollDurableSurvey(DurableSurvey survey) {
    if (ended || survey.isEnded()) {
      return;
    }
    if (isDurable()) {
      survey.choice().setSyncReplicas(need.syncReplicas().getAsInt());
    }
    List<TargetState> targets = new ArrayList<>(group.targets());
    if (verdict != PrimaryVerdict.LEAVING) {
      targets.remove(oldPrimary);
    }
    survey.queryDue(targets);
    chooseDurable();
    holdReplicas();
    loop.after(POLL_INTERVAL_MS, () -> pollDurableSurvey(survey));
  }

  private void onReport(TargetState target, TargetReport report, long sentNanos) {
    newestTerm = Math.max(newestTerm, report.term());
    foundPaused |= report.isPaused() && !hasPaused;
    durableSurvey.choice().setPaused(target, report.isPaused());
    if (held != null) {
      held.hold().report(target, report, sentNanos, loop.nowNanos());
    }
    chooseDurable();
    holdReplicas();
  }

  private void chooseDurable() {
    if (chosen != null) {
      return;
    }
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn() || endIfReachable()) {
      return;
    }
    TargetState candidate = durableCandidate();
    if (candidate != null) {
      logSurvey("chosen");
      if (durableSurvey.choice().choose(loop.nowNanos()) == null) {
        logPossibleLoss();
        choose(candidate, durableSurvey.choice().receivedBy(candidate, loop.nowNanos()));
        requestPromotion();
        return;
      }
      choose(candidate, durableSurvey.choice().receivedBy(candidate, loop.nowNanos()));
      hasPaused = true;
      ReplicaHold hold = new ReplicaHold(candidate, newestTerm);
      held = new HeldReplicas(loop, queries, group.name(), hold, this::queryCandidate);
    } else if (!requested && elapsedMs(startedNanos) > SURVEY_TURN_MS) {
      endIncomplete();
    }
  }

  /** Queries the candidate at once: the others are paused, so that its log is compared now. */
  private void queryCandidate() {
    HeldReplicas current = held;
    long sentNanos = loop.nowNanos();
    queries.request(
        chosen,
        new TargetCommand.Report(),
        HOLD_TIMEOUT_MS,
        report -> {
          if (report != null && current == held) {
            onReport(chosen, report, sentNanos);
          }
        });
  }

  /** Keeps replicas paused, and requests the promotion once the candidate has all commits. */
  private void holdReplicas() {
    if (ended || held == null) {
      return;
    }
    List<TargetState> others = new ArrayList<>(group.targets());
    others.remove(oldPrimary);
    others.remove(chosen);
    int needed = durableSurvey.choice().neededPauses(loop.nowNanos());
    held.pauseDue(others, needed);
    if (chosenRequested) {
      // The sooner a request without an answer is revoked, the sooner the replicas receive again.
      if (!outcomes.isAccepted()) {
        endIfReachable();
      }
      return;
    }
    if (endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn() || endIfReachable()) {
      return;
    }
    if (held.hold().isComplete(others, needed)) {
      requestPromotion();
    } else if (elapsedMs(chosenNanos) > HOLD_TIMEOUT_MS) {
      if (isDurableWaitOver(durableSurvey.choice())) {
        logPossibleLoss();
        requestPromotion();
      } else {
        endIncomplete();
      }
    }
  }

  private void logPossibleLoss() {
    Logger.warn(
        "event=promotion_may_lose_commits group={} waited_ms={}",
        group.name(),
        elapsedMs(need.sinceNanos()));
  }

  /** Lets the replicas receive again, unless a request may still be carried out. */
  private void releaseHold() {
    if (held == null) {
      return;
    }
    if (leavesRequest()) {
      held.end();
    } else {
      held.resumeAll();
    }
    held = null;
  }

  /** Records that the chosen target is the primary: requests under older fences are refused. */
  private void recordSuccess() {
    outcomes = new RequestOutcomes();
    foundPaused = false;
  }

  /** Returns the target to promote by the reports there are, or null. */
  private TargetState durableCandidate() {
    DurableChoice choice = durableSurvey.choice();
    long nowNanos = loop.nowNanos();
    boolean primaryMayReport =
        verdict == PrimaryVerdict.LEAVING && elapsedMs(startedNanos) < PRIMARY_REPORT_MS;
    if (primaryMayReport && !choice.primaryReports(nowNanos)) {
      return null;
    }
    TargetState candidate = choice.choose(nowNanos);
    boolean reportsAwaited = elapsedMs(startedNanos) > REPORTS_MS;
    return candidate == null && reportsAwaited && isDurableWaitOver(choice)
        ? choice.mostAdvanced(nowNanos)
        : candidate;
  }

  /** Ends the attempt so that an instance which may reach other replicas can begin one. */
  private void endIncomplete() {
    logSurvey("incomplete");
    surveyIncomplete = true;
    end("survey incomplete");
  }

  private void logSurvey(String phase) {
    Logger.info(
        "event=promotion_survey group={} phase={} fence={} after_ms={} {}",
        group.name(),
        phase,
        lease.fence(),
        elapsedMs(startedNanos),
        durableSurvey.choice().describe(loop.nowNanos()));
  }

  /** Ends an attempt to replace a primary that has come back before another was promoted. */
  private boolean endIfReachable() {
    boolean reachable =
        verdict == PrimaryVerdict.DEAD
            && group.primary() == oldPrimary
            && need.primaryIsReachable().getAsBoolean();
    if (reachable) {
      end("primary is reachable again");
    }
    return reachable;
  }

  /** Returns whether the group has waited for reports for as long as it may. */
  private boolean isDurableWaitOver(DurableChoice choice) {
    return elapsedMs(need.sinceNanos()) > MAX_DURABLE_WAIT_MS
        && !choice.primaryReports(loop.nowNanos());
  }

  /** Replaces a leaving target that has been promoted, once another one has received its log. */
  private void continueAfter(TargetState promoted) {
    Logger.info(
        "event=promotion_continued group={} primary={} fence={} after_ms={}",
        group.name(),
        promoted.entry().id(),
        lease.fence(),
        elapsedMs(startedNanos));
    oldPrimary = promoted;
    verdict = PrimaryVerdict.LEAVING;
    startedNanos = loop.nowNanos();
    chosen = null;
    chosenRequested = false;
    recordSuccess();
    releaseHold();
    durableSurvey.end();
    beginDurableSurvey();
  }

  /**
   * Returns whether a candidate that has received {@code position} may be promoted. A planned
   * change waits, up to a limit, until the candidate has received the newest position observed at
   * the primary.
   */
  private boolean caughtUp(Position position) {
    if (verdict != PrimaryVerdict.LEAVING || elapsedMs(startedNanos) > CATCH_UP_TIMEOUT_MS) {
      return true;
    }
    Position latest = group.observedPositions().latest();
    return latest == null || Positions.reaches(position, latest);
  }

  private void requestPromotion() {
    if (ended || endIfPrimaryChanged() || endIfTimedOut()) {
      return;
    }
    if (chosen.isEvacuated() && !chosenIsLeaving) {
      end("candidate evacuated");
      return;
    }
    Logger.info(
        "event=promotion_requested group={} target={} received={} fence={} verdict={} after_ms={}",
        group.name(),
        chosen.entry().id(),
        chosenPosition,
        lease.fence(),
        verdict,
        elapsedMs(startedNanos));
    requested = true;
    chosenRequested = true;
    RequestOutcomes sent = outcomes;
    sent.recordSent();
    promotionClient.requestPromotion(
        group.name(),
        chosen.entry().id(),
        self,
        lease.fence(),
        result -> {
          sent.recordAnswer(result);
          onPromotionResult(sent, result);
        });
  }

  private void onPromotionResult(RequestOutcomes sent, PromotionClient.Result result) {
    Logger.info(
        "event=promotion_answered group={} fence={} result={}",
        group.name(),
        lease.fence(),
        result);
    if (ended || sent != outcomes) {
      return;
    }
    if (result == PromotionClient.Result.REFUSED) {
      // The platform does not tell a low fence from a target that is not running.
      Logger.warn(
          "event=promotion_refused group={} target={} fence={} registered={}",
          group.name(),
          chosen.entry().id(),
          lease.fence(),
          group.targets().contains(chosen));
      end("refused");
    } else if (result == PromotionClient.Result.ACCEPTED) {
      awaitNewPrimary(loop.nowNanos());
    } else {
      loop.after(POLL_INTERVAL_MS * 5, this::repeatRequest);
    }
  }

  /** Repeats the request for the same target, unless another log has got ahead of its log. */
  private void repeatRequest() {
    if (durableSurvey == null) {
      requestPromotion();
      return;
    }
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfReachable()) {
      return;
    }
    TargetState candidate = durableCandidate();
    if (candidate != null && durableSurvey.choice().reaches(chosen, candidate, loop.nowNanos())) {
      requestPromotion();
    } else if (elapsedMs(chosenNanos) > SURVEY_TURN_MS) {
      endIncomplete();
    } else {
      loop.after(POLL_INTERVAL_MS, this::repeatRequest);
    }
  }

  private void awaitNewPrimary(long requestedNanos) {
    if (ended || endIfPrimaryChanged() || endIfTimedOut()) {
      return;
    }
    if (elapsedMs(requestedNanos) > REQUEST_RETRY_MS) {
      repeatRequest();
      return;
    }
    loop.after(POLL_INTERVAL_MS, () -> awaitNewPrimary(requestedNanos));
  }

  /** Ends the attempt, or continues it with a leaving primary, once there is another primary. */
  private boolean endIfPrimaryChanged() {
    TargetState current = group.primary();
    if (current == null || current == oldPrimary) {
      return false;
    }
    boolean asChosen = current == chosen && chosenIsLeaving;
    if (asChosen && current.isLeaving()) {
      continueAfter(current);
      return true;
    }
    boolean changed = asChosen || !current.entry().draining();
    if (changed) {
      if (current == chosen) {
        recordSuccess();
        succeeded = true;
      }
      end("done: " + current.entry().id());
    }
    return changed;
  }

  /** Ends a planned change whose reason, an evacuation, has been withdrawn. */
  private boolean endIfWithdrawn() {
    boolean withdrawn = verdict == PrimaryVerdict.LEAVING && !oldPrimary.isLeaving();
    if (withdrawn) {
      end("evacuation withdrawn");
    }
    return withdrawn;
  }

  private boolean endIfTimedOut() {
    boolean timedOut = elapsedMs(startedNanos) > ATTEMPT_TIMEOUT_MS;
    if (timedOut) {
      end("timed out");
    }
    return timedOut;
  }

  private long elapsedMs(long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - sinceNanos);
  }

  /** Ends the attempt after the store was restored; its lease's id may be another's now. */
  void endInNewEra() {
    lease.forget();
    end("store restored");
  }

  /** Ends the attempt and releases the promotion lease. */
  void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    Logger.info(
        "event=promotion_ended group={} reason=\"{}\" fence={} leaves_request={} after_ms={}",
        group.name(),
        reason,
        lease.fence(),
        leavesRequest(),
        elapsedMs(startedNanos));
    releaseHold();
    lease.release();
  }
}
