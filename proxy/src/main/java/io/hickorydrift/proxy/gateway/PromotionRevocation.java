package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.PromotionClient;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Revokes the promotion requests of a group whose outcome is not known. Acquires the promotion
 * lease and requests the promotion of the present primary under its fence: that changes nothing,
 * but older requests are refused from then on. Then lets the replicas that are paused for them
 * receive again.
 *
 * <p>Invariant: replicas stay paused until a request that was carried out just before the
 * revocation has had the time to take effect. If another target becomes the primary meanwhile, the
 * revocation ends without success. Thread safety: confined to the loop's thread.
 */
final class PromotionRevocation {
  private static final long RETRY_MS = 200;
  private static final long POLL_INTERVAL_MS = 40;
  // Longer than a promotion takes to take effect.
  private static final long SETTLED_AFTER_MS = 2_000;
  private static final long REPORT_TIMEOUT_MS = 500;

  private final EventLoop loop;
  private final PromotionClient promotionClient;
  private final PositionQueries queries;
  private final PromotionLease lease;
  private final String self;
  private final GroupState group;
  private final TargetState primary;
  private boolean succeeded;
  private boolean ended;

  PromotionRevocation(PromotionServices services, PositionQueries queries, GroupState group) {
    loop = services.loop();
    promotionClient = services.promotionClient();
    this.queries = queries;
    self = services.self();
    this.group = group;
    primary = group.primary();
    lease =
        new PromotionLease(
            loop,
            services.store(),
            group.name(),
            self,
            new PromotionLease.Listener() {
              @Override
              public void acquired() {
                request();
              }

              @Override
              public void ended(String reason, boolean heldByAnother) {
                end(reason);
              }
            });
  }

  void start() {
    lease.acquire();
  }

  boolean ended() {
    return ended;
  }

  /** Returns whether older requests can no longer be carried out. */
  boolean succeeded() {
    return succeeded;
  }

  private void request() {
    if (ended || endIfPrimaryChanged()) {
      return;
    }
    Logger.info(
        "event=promotion_revocation_requested group={} primary={} fence={}",
        group.name(),
        primary.entry().id(),
        lease.fence());
    promotionClient.requestPromotion(
        group.name(), primary.entry().id(), self, lease.fence(), this::onResult);
  }

  private void onResult(PromotionClient.Result result) {
    Logger.info(
        "event=promotion_revocation_answered group={} fence={} result={}",
        group.name(),
        lease.fence(),
        result);
    if (ended) {
      return;
    }
    if (result == PromotionClient.Result.ACCEPTED) {
      awaitSettled(loop.nowNanos());
    } else if (result == PromotionClient.Result.REFUSED) {
      end("refused");
    } else {
      loop.after(RETRY_MS, this::request);
    }
  }

  private void awaitSettled(long answeredNanos) {
    if (ended || endIfPrimaryChanged()) {
      return;
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - answeredNanos);
    if (elapsedMs < SETTLED_AFTER_MS) {
      loop.after(POLL_INTERVAL_MS, () -> awaitSettled(answeredNanos));
      return;
    }
    resumeReplicas();
    succeeded = true;
    end("done");
  }

  private void resumeReplicas() {
    for (TargetState replica : group.replicas()) {
      queries.request(
          replica,
          new TargetCommand.Report(),
          REPORT_TIMEOUT_MS,
          report -> {
            if (report == null || report.isPaused()) {
              HeldReplicas.resume(queries, group.name(), replica);
            }
          });
    }
  }

  private boolean endIfPrimaryChanged() {
    boolean changed = group.primary() != primary;
    if (changed) {
      end("primary changed");
    }
    return changed;
  }

  /** Forgets the lease after the store was restored; its id may be another's now. */
  void endInNewEra() {
    lease.forget();
    end("store restored");
  }

  /** Ends the revocation and releases the promotion lease. */
  void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    Logger.info(
        "event=promotion_revocation_ended group={} reason=\"{}\" fence={}",
        group.name(),
        reason,
        lease.fence());
    lease.release();
  }
}
