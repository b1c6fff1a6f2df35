package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.promotion.PositionSurvey;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import io.hickorydrift.core.promotion.PromotionCandidates;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Condition;
import io.hickorydrift.proxy.port.KeyValueStore.Put;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import io.hickorydrift.proxy.port.KeyValueStore.Write;
import io.hickorydrift.proxy.port.PromotionClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * One attempt to replace the primary of a group: acquires the promotion lease, collects the
 * positions that the replicas have received, requests the promotion of the most advanced one, and
 * waits until it is the primary.
 *
 * <p>Invariant: promotion requests carry the fence of this lease; after a refusal no further
 * request is sent under it. A request without a response may still be carried out, so it is retried
 * only for the same target. One survey of the replicas is under way at a time. Thread safety:
 * confined to the loop's thread.
 */
final class PromotionAttempt {
  private static final String LEASE_KEY_PREFIX = "duty/promotion/";
  private static final int HIGHEST_PRIORITY = 0;
  private static final long LEASE_TTL_MS = 3_000;
  private static final long LEASE_RENEWAL_MS = 1_000;
  private static final long SURVEY_TIMEOUT_MS = 300;
  private static final long CATCH_UP_TIMEOUT_MS = 1_500;
  private static final long POLL_INTERVAL_MS = 40;
  private static final long REQUEST_RETRY_MS = 1_500;
  private static final long ATTEMPT_TIMEOUT_MS = 8_000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final PromotionClient promotionClient;
  private final TargetPools pools;
  private final Declarations declarations;
  private final String self;
  private final GroupState group;
  private final PrimaryVerdict verdict;
  private final long startedNanos;
  private final TargetState oldPrimary;
  private final boolean becauseOfEvacuation;
  private long lease;
  private long fence;
  private TargetState chosen;
  private Position chosenPosition;
  private boolean leaseHeldByAnother;
  private boolean ended;
  private boolean ofEarlierEra;

  PromotionAttempt(
      EventLoop loop,
      KeyValueStore store,
      PromotionClient promotionClient,
      TargetPools pools,
      Declarations declarations,
      String self,
      GroupState group,
      PrimaryVerdict verdict) {
    this.loop = loop;
    this.store = store;
    this.promotionClient = promotionClient;
    this.pools = pools;
    this.declarations = declarations;
    this.self = self;
    this.group = group;
    this.verdict = verdict;
    startedNanos = loop.nowNanos();
    oldPrimary = group.primary();
    becauseOfEvacuation = verdict == PrimaryVerdict.LEAVING && oldPrimary.isEvacuated();
  }

  boolean ended() {
    return ended;
  }

  /** Returns the fencing token of the attempt's requests, 0 before it has one. */
  long fence() {
    return fence;
  }

  /** Returns whether the attempt ended because another instance holds the promotion lease. */
  boolean leaseHeldByAnother() {
    return leaseHeldByAnother;
  }

  void start() {
    store.grantLease(
        LEASE_TTL_MS,
        result -> {
          if (result.status() != Status.OK) {
            end("lease not granted: " + result.status());
            return;
          }
          if (ended) {
            revoke(result.value());
            return;
          }
          lease = result.value();
          acquireLease();
        });
  }

  private void acquireLease() {
    String key = LEASE_KEY_PREFIX + group.name();
    Write write =
        new Write(
            List.of(new Condition(key, KeyValueStore.ABSENT)),
            List.of(new Put(key, self.getBytes(StandardCharsets.UTF_8), lease)),
            List.of());
    store.write(write, this::onLeaseKeyWritten);
  }

  private void onLeaseKeyWritten(UpdateResult result) {
    if (ended) {
      if (ofEarlierEra && result.status() == Status.OK) {
        deleteKey(result.value());
      }
      return;
    }
    if (result.status() != Status.OK) {
      leaseHeldByAnother = result.status() == Status.CONFLICT;
      end("promotion lease not acquired: " + result.status());
      return;
    }
    fence = new StorePosition(result.era(), result.value()).fencingToken();
    Logger.info("event=promotion_lease_acquired group={} fence={}", group.name(), fence);
    loop.after(LEASE_RENEWAL_MS, this::renewLease);
    surveyReplicas();
  }

  /** Deletes a key that was written under the id of a lease of an earlier era. */
  private void deleteKey(long revision) {
    String key = LEASE_KEY_PREFIX + group.name();
    store.write(
        new Write(List.of(new Condition(key, revision)), List.of(), List.of(key)),
        result -> Logger.info("event=promotion_key_deleted status={}", result.status()));
  }

  private void renewLease() {
    if (ended) {
      return;
    }
    store.renewLease(
        lease,
        result -> {
          if (result.status() == Status.NOT_FOUND) {
            end("lease lost");
          } else {
            loop.after(LEASE_RENEWAL_MS, this::renewLease);
          }
        });
  }

  private void surveyReplicas() {
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn()) {
      return;
    }
    List<TargetState> replicas = new ArrayList<>(group.targets());
    replicas.remove(oldPrimary);
    replicas.removeIf(TargetState::isEvacuated);
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
      queryPosition(
          replica,
          position -> {
            if (survey.report(replica, position)) {
              timeout.cancel();
              chooseCandidate(survey.received());
            }
          });
    }
  }

  /** Queries the position that {@code target} has received; null if it does not report one. */
  private void queryPosition(TargetState target, Consumer<Position> onPosition) {
    long deadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(SURVEY_TIMEOUT_MS);
    String organisation =
        declarations.current().organisations().keySet().stream().findFirst().orElse("-");
    TargetPool pool = pools.poolFor(target);
    AcquireListener listener =
        new AcquireListener() {
          @Override
          public void acquired(TargetConnection connection) {
            pools.requestReport(
                connection,
                deadlineNanos,
                report -> onPosition.accept(report == null ? null : report.received()));
          }

          @Override
          public void refused(String reason) {
            onPosition.accept(null);
          }
        };
    TargetConnection idle = pool.pollIdle();
    if (idle != null) {
      listener.acquired(idle);
    } else {
      pool.acquire(organisation, HIGHEST_PRIORITY, deadlineNanos, listener);
    }
  }

  private void chooseCandidate(Map<TargetState, Position> received) {
    if (ended || endIfPrimaryChanged() || endIfTimedOut() || endIfWithdrawn()) {
      return;
    }
    TargetState candidate = PromotionCandidates.mostAdvanced(received, loop.nowNanos());
    if (candidate == null || !caughtUp(received.get(candidate))) {
      loop.after(POLL_INTERVAL_MS, this::surveyReplicas);
      return;
    }
    chosen = candidate;
    chosenPosition = received.get(candidate);
    requestPromotion();
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
    if (chosen.isEvacuated()) {
      end("candidate evacuated");
      return;
    }
    Logger.info(
        "event=promotion_requested group={} target={} received={} fence={} verdict={} after_ms={}",
        group.name(),
        chosen.entry().id(),
        chosenPosition,
        fence,
        verdict,
        elapsedMs(startedNanos));
    promotionClient.requestPromotion(
        group.name(), chosen.entry().id(), self, fence, this::onPromotionResult);
  }

  private void onPromotionResult(PromotionClient.Result result) {
    Logger.info("event=promotion_answered group={} result={}", group.name(), result);
    if (ended) {
      return;
    }
    if (result == PromotionClient.Result.REFUSED) {
      // The platform does not tell a low fence from a target that is not running.
      Logger.warn(
          "event=promotion_refused group={} target={} fence={} registered={}",
          group.name(),
          chosen.entry().id(),
          fence,
          group.targets().contains(chosen));
      end("refused");
    } else if (result == PromotionClient.Result.ACCEPTED) {
      awaitNewPrimary(loop.nowNanos());
    } else {
      loop.after(POLL_INTERVAL_MS * 5, this::requestPromotion);
    }
  }

  private void awaitNewPrimary(long requestedNanos) {
    if (ended || endIfPrimaryChanged() || endIfTimedOut()) {
      return;
    }
    if (elapsedMs(requestedNanos) > REQUEST_RETRY_MS) {
      requestPromotion();
      return;
    }
    loop.after(POLL_INTERVAL_MS, () -> awaitNewPrimary(requestedNanos));
  }

  private boolean endIfPrimaryChanged() {
    TargetState current = group.primary();
    boolean changed = current != null && current != oldPrimary && !current.entry().draining();
    if (changed) {
      end("done: " + current.entry().id());
    }
    return changed;
  }

  /** Ends an attempt that was made for an evacuation which has been withdrawn since. */
  private boolean endIfWithdrawn() {
    boolean withdrawn = becauseOfEvacuation && !oldPrimary.isLeaving();
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
    ofEarlierEra = true;
    lease = KeyValueStore.NO_LEASE;
    end("store restored");
  }

  /** Ends the attempt and releases the promotion lease. */
  void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    Logger.info(
        "event=promotion_ended group={} reason=\"{}\" fence={} after_ms={}",
        group.name(),
        reason,
        fence,
        elapsedMs(startedNanos));
    if (lease != KeyValueStore.NO_LEASE) {
      revoke(lease);
    }
  }

  private void revoke(long grantedLease) {
    store.revokeLease(
        grantedLease,
        result -> Logger.debug("event=promotion_lease_released status={}", result.status()));
  }
}
