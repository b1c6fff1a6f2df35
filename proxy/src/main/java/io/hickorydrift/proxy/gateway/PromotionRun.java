package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import io.hickorydrift.core.promotion.PromotionCandidates;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Condition;
import io.hickorydrift.proxy.port.KeyValueStore.Done;
import io.hickorydrift.proxy.port.KeyValueStore.Put;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.Write;
import io.hickorydrift.proxy.port.PromotionOrders;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One change of primary: claim the duty, ask the replicas what they have received, order the best
 * one, and wait until it leads.
 *
 * <p>Invariant: orders carry the fence of this claim; after a refusal nothing more is ordered under
 * it. An order without an answer may still be carried out, so that it is only ever repeated for the
 * same target. Thread safety: confined to the loop's thread.
 */
final class PromotionRun {
  private static final String PREFIX = "duty/promotion/";
  private static final int MOST_URGENT = 0;
  private static final long LEASE_MS = 3_000;
  private static final long KEEP_MS = 1_000;
  private static final long SURVEY_MS = 300;
  private static final long CATCH_UP_MS = 1_500;
  private static final long POLL_MS = 40;
  private static final long REPEAT_MS = 1_500;
  private static final long GIVE_UP_MS = 8_000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final PromotionOrders orders;
  private final Pools pools;
  private final Declarations declarations;
  private final String self;
  private final GroupState group;
  private final PrimaryVerdict verdict;
  private final long startedNanos;
  private final TargetState before;
  private final Map<TargetState, Position> received = new LinkedHashMap<>();
  private long lease;
  private long fence;
  private TargetState chosen;
  private long surveyStartedNanos;
  private int pendingReports;
  private boolean heldByAnother;
  private boolean ended;

  PromotionRun(
      EventLoop loop,
      KeyValueStore store,
      PromotionOrders orders,
      Pools pools,
      Declarations declarations,
      String self,
      GroupState group,
      PrimaryVerdict verdict) {
    this.loop = loop;
    this.store = store;
    this.orders = orders;
    this.pools = pools;
    this.declarations = declarations;
    this.self = self;
    this.group = group;
    this.verdict = verdict;
    startedNanos = loop.nowNanos();
    before = group.primary();
  }

  boolean ended() {
    return ended;
  }

  /** Returns whether it ended because another instance holds the duty. */
  boolean held() {
    return heldByAnother;
  }

  void start() {
    store.grantLease(
        LEASE_MS,
        done -> {
          if (done.status() != Status.OK) {
            end("no lease: " + done.status());
            return;
          }
          lease = done.value();
          claim();
        });
  }

  private void claim() {
    String key = PREFIX + group.name();
    Write write =
        new Write(
            List.of(new Condition(key, KeyValueStore.ABSENT)),
            List.of(new Put(key, self.getBytes(StandardCharsets.UTF_8), lease)),
            List.of());
    store.write(write, this::claimed);
  }

  private void claimed(Done done) {
    if (ended) {
      return;
    }
    if (done.status() != Status.OK) {
      heldByAnother = done.status() == Status.CONFLICT;
      end("not claimed: " + done.status());
      return;
    }
    fence = done.value();
    Logger.info("event=duty_claimed group={} fence={}", group.name(), fence);
    loop.after(KEEP_MS, this::keep);
    survey();
  }

  private void keep() {
    if (ended) {
      return;
    }
    store.keepLease(
        lease,
        done -> {
          if (done.status() == Status.NOT_FOUND) {
            end("lease lost");
          } else {
            loop.after(KEEP_MS, this::keep);
          }
        });
  }

  private void survey() {
    if (ended || changed() || expired()) {
      return;
    }
    surveyStartedNanos = loop.nowNanos();
    received.clear();
    pendingReports = 0;
    for (TargetState target : group.targets()) {
      if (target != before) {
        pendingReports++;
        ask(target);
      }
    }
    loop.after(SURVEY_MS, this::choose);
  }

  private void ask(TargetState target) {
    long untilNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(SURVEY_MS);
    String organisation =
        declarations.current().organisations().keySet().stream().findFirst().orElse("-");
    TargetPool pool = pools.of(target);
    TargetPool.Waiter waiter =
        new TargetPool.Waiter() {
          @Override
          public void granted(TargetConnection connection) {
            pools.report(
                connection,
                untilNanos,
                report -> {
                  if (report != null && report.received() != null) {
                    received.put(target, report.received());
                  }
                  reported();
                });
          }

          @Override
          public void refused(String reason) {
            reported();
          }
        };
    TargetConnection idle = pool.anyIdle();
    if (idle != null) {
      waiter.granted(idle);
    } else {
      pool.acquire(organisation, MOST_URGENT, untilNanos, waiter);
    }
  }

  private void reported() {
    pendingReports--;
    if (pendingReports == 0) {
      choose();
    }
  }

  private void choose() {
    if (ended || chosen != null || changed() || expired()) {
      return;
    }
    boolean complete =
        pendingReports <= 0
            || loop.nowNanos() - surveyStartedNanos >= TimeUnit.MILLISECONDS.toNanos(SURVEY_MS);
    if (!complete) {
      return;
    }
    TargetState best = PromotionCandidates.mostAdvanced(received);
    if (best == null || !caughtUp(received.get(best))) {
      loop.after(POLL_MS, this::survey);
      return;
    }
    chosen = best;
    order();
  }

  /** Returns whether a planned change may go on: the new primary has all that was seen. */
  private boolean caughtUp(Position position) {
    if (verdict != PrimaryVerdict.LEAVING || since(startedNanos) > CATCH_UP_MS) {
      return true;
    }
    Position latest = group.sightings().latest();
    return latest == null || Positions.reaches(position, latest);
  }

  private void order() {
    if (ended || changed() || expired()) {
      return;
    }
    Logger.info(
        "event=promotion_ordered group={} target={} received={} fence={} verdict={} after_ms={}",
        group.name(),
        chosen.entry().id(),
        received.get(chosen),
        fence,
        verdict,
        since(startedNanos));
    orders.order(group.name(), chosen.entry().id(), self, fence, this::ordered);
  }

  private void ordered(PromotionOrders.Result result) {
    Logger.info("event=promotion_answered group={} result={}", group.name(), result);
    if (ended) {
      return;
    }
    if (result == PromotionOrders.Result.REFUSED) {
      end("refused");
    } else if (result == PromotionOrders.Result.ACCEPTED) {
      awaitLead(loop.nowNanos());
    } else {
      loop.after(POLL_MS * 5, this::order);
    }
  }

  private void awaitLead(long orderedNanos) {
    if (ended || changed() || expired()) {
      return;
    }
    if (since(orderedNanos) > REPEAT_MS) {
      order();
      return;
    }
    loop.after(POLL_MS, () -> awaitLead(orderedNanos));
  }

  private boolean changed() {
    TargetState now = group.primary();
    boolean done = now != null && now != before && !now.entry().draining();
    if (done) {
      end("done: " + now.entry().id());
    }
    return done;
  }

  private boolean expired() {
    boolean late = since(startedNanos) > GIVE_UP_MS;
    if (late) {
      end("given up");
    }
    return late;
  }

  private long since(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - nanos);
  }

  /** Stops and gives the duty back. */
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
        since(startedNanos));
    if (lease != KeyValueStore.NO_LEASE) {
      store.endLease(lease, done -> Logger.debug("event=duty_returned status={}", done.status()));
    }
  }
}
