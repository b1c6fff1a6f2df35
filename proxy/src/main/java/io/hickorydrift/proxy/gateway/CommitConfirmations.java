package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.AcknowledgementPolicy;
import io.hickorydrift.core.commit.ReplicaOrder;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds commits back until the acknowledgement policy is satisfied. Each group's replicas are
 * polled round-robin, one at a time; one report serves all pending commits of the group. Where
 * distance matters to a group, the nearest replica is polled first, and the next one as well if the
 * first is far or slow to report.
 *
 * <p>Invariant: each commit is settled exactly once, at its deadline at the latest. Thread safety:
 * confined to the loop's thread.
 */
final class CommitConfirmations {
  // A replica receives a commit within a round trip between failure domains.
  private static final long POLL_INTERVAL_MS = 4;
  private static final long REPORT_TIMEOUT_NANOS = 100_000_000L;
  // A report takes a round trip between failure domains and a short time in a slot; one that takes
  // longer waits behind statements.
  private static final long HEDGE_DELAY_MS = 4;
  // The report may overtake the commit on its way to the replica, which takes about a millisecond.
  private static final long REPEAT_DELAY_MS = 2;

  private record PendingCommit(
      String organisation, Position commit, long deadlineNanos, Consumer<Boolean> onSettled) {}

  private static final class GroupQueue {
    private final List<PendingCommit> pending = new ArrayList<>();
    private boolean polling;
    private PollRound round;
    private int nextReplica;
  }

  /** One round of polling the replicas of a group, the nearest first. */
  private static final class PollRound {
    private final List<TargetState> replicas;
    private int next;
    private int outstanding;

    private PollRound(List<TargetState> replicas) {
      this.replicas = replicas;
    }

    private boolean hasNext() {
      return next < replicas.size();
    }
  }

  private final EventLoop loop;
  private final TargetPools pools;
  private final ReplicaOrder order;
  private final Predicate<String> usesLocality;
  private AcknowledgementPolicy policy;
  private final Map<String, GroupQueue> queues = new HashMap<>();

  /**
   * Creates an instance without pending commits.
   *
   * @param usesLocality whether distance matters to the statements of a group
   */
  CommitConfirmations(
      EventLoop loop,
      TargetPools pools,
      AcknowledgementPolicy policy,
      ReplicaOrder order,
      Predicate<String> usesLocality) {
    this.loop = loop;
    this.pools = pools;
    this.policy = policy;
    this.order = order;
    this.usesLocality = usesLocality;
  }

  /** Sets the policy for all pending and further commits. */
  void setPolicy(AcknowledgementPolicy newPolicy) {
    policy = newPolicy;
  }

  /**
   * Calls {@code onSettled} with true once {@code commit}, which the primary has applied, may be
   * acknowledged, or with false if its deadline passes first.
   */
  void confirm(
      GroupState group,
      String organisation,
      Position commit,
      long deadlineNanos,
      Consumer<Boolean> onSettled) {
    if (commit == null || policy.isSatisfied(group, commit)) {
      onSettled.accept(true);
      return;
    }
    GroupQueue queue = queues.computeIfAbsent(group.name(), name -> new GroupQueue());
    queue.pending.add(new PendingCommit(organisation, commit, deadlineNanos, onSettled));
    if (!queue.polling) {
      poll(group, queue);
    }
  }

  private void poll(GroupState group, GroupQueue queue) {
    settle(group, queue);
    queue.polling = !queue.pending.isEmpty();
    if (!queue.polling) {
      return;
    }
    List<TargetState> replicas = group.reportingReplicas();
    if (replicas.isEmpty()) {
      pollLater(group, queue);
      return;
    }
    if (usesLocality.test(group.name())) {
      queue.round = new PollRound(order.nearestFirst(replicas));
      pollNext(group, queue, queue.round);
      return;
    }
    TargetState replica = replicas.get(queue.nextReplica++ % replicas.size());
    String organisation = queue.pending.get(0).organisation;
    long deadlineNanos = loop.nowNanos() + REPORT_TIMEOUT_NANOS;
    AcquireListener request = reportRequest(replica, deadlineNanos, () -> pollLater(group, queue));
    TargetPool pool = pools.poolForReports(replica);
    if (replica.isEvacuated()) {
      // The one connection to it serves all organisations.
      pool.acquireAny(organisation, deadlineNanos, request);
    } else {
      pool.acquire(organisation, deadlineNanos, request);
    }
  }

  /** Requests the report of {@code replica} and records it; calls {@code onDone} in any case. */
  private AcquireListener reportRequest(TargetState replica, long deadlineNanos, Runnable onDone) {
    return new AcquireListener() {
      @Override
      public void acquired(TargetConnection connection) {
        pools.requestReport(
            connection,
            deadlineNanos,
            report -> {
              if (report != null) {
                replica.recordReceived(report.received());
              }
              onDone.run();
            });
      }

      @Override
      public void refused(String reason) {
        onDone.run();
      }
    };
  }

  /** Polls the next replica of the round, and the one after it if this one is far or slow. */
  private void pollNext(GroupState group, GroupQueue queue, PollRound round) {
    TargetState replica = round.replicas.get(round.next++);
    round.outstanding++;
    long deadlineNanos = loop.nowNanos() + REPORT_TIMEOUT_NANOS;
    AcquireListener request =
        reportRequest(replica, deadlineNanos, () -> reportArrived(group, queue, round));
    String organisation = queue.pending.get(0).organisation;
    // A connection of the organisation may have to be opened first, which takes as long as several
    // statements; the report is the same on any connection.
    TargetPool pool = pools.poolForReports(replica);
    TargetConnection idle = pool.pollIdle(organisation);
    if (idle != null) {
      request.acquired(idle);
    } else {
      pool.acquire(organisation, deadlineNanos, request);
    }
    if (!round.hasNext() || queue.round != round || queue.pending.isEmpty()) {
      return;
    }
    if (order.isInOtherRegion(replica)) {
      pollNext(group, queue, round);
    } else {
      loop.after(HEDGE_DELAY_MS, () -> hedge(group, queue, round));
    }
  }

  private void hedge(GroupState group, GroupQueue queue, PollRound round) {
    boolean slow = round.outstanding > 0 && round.hasNext();
    if (slow && queue.round == round && !queue.pending.isEmpty()) {
      pollNext(group, queue, round);
    }
  }

  private void reportArrived(GroupState group, GroupQueue queue, PollRound round) {
    round.outstanding--;
    settle(group, queue);
    if (queue.round != round) {
      return;
    }
    if (queue.pending.isEmpty()) {
      queue.round = null;
      queue.polling = false;
    } else if (round.outstanding == 0 && round.hasNext()) {
      pollNext(group, queue, round);
    } else if (round.outstanding == 0) {
      queue.round = null;
      loop.after(REPEAT_DELAY_MS, () -> poll(group, queue));
    }
  }

  private void pollLater(GroupState group, GroupQueue queue) {
    settle(group, queue);
    loop.after(POLL_INTERVAL_MS, () -> poll(group, queue));
  }

  private void settle(GroupState group, GroupQueue queue) {
    List<PendingCommit> confirmed = new ArrayList<>();
    List<PendingCommit> expired = new ArrayList<>();
    for (Iterator<PendingCommit> iterator = queue.pending.iterator(); iterator.hasNext(); ) {
      PendingCommit next = iterator.next();
      if (policy.isSatisfied(group, next.commit)) {
        confirmed.add(next);
        iterator.remove();
      } else if (next.deadlineNanos - loop.nowNanos() <= 0) {
        expired.add(next);
        iterator.remove();
      }
    }
    confirmed.forEach(commit -> commit.onSettled.accept(true));
    expired.forEach(commit -> commit.onSettled.accept(false));
  }
}
