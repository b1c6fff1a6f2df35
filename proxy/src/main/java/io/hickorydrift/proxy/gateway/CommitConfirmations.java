package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.AcknowledgementPolicy;
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

/**
 * Commits that wait to be acknowledged until the rule is satisfied. Replicas are asked in turn, one
 * at a time for each group, for all commits that wait.
 *
 * <p>Invariant: each commit ends exactly once, at its deadline at the latest. Thread safety:
 * confined to the loop's thread.
 */
final class CommitConfirmations {
  // A replica receives a commit within a round trip between failure domains.
  private static final long POLL_MS = 4;
  private static final long ASK_NANOS = 100_000_000L;

  private record Pending(
      String organisation, Position commit, long deadlineNanos, Consumer<Boolean> onEnd) {}

  private static final class Line {
    private final List<Pending> pending = new ArrayList<>();
    private boolean asking;
    private int turn;
  }

  private final EventLoop loop;
  private final TargetPools pools;
  private final AcknowledgementPolicy rule;
  private final Map<String, Line> lines = new HashMap<>();

  CommitConfirmations(EventLoop loop, TargetPools pools, AcknowledgementPolicy rule) {
    this.loop = loop;
    this.pools = pools;
    this.rule = rule;
  }

  /** Tells {@code onEnd} whether {@code commit}, done by the primary, may be acknowledged. */
  void confirm(
      GroupState group,
      String organisation,
      Position commit,
      long deadlineNanos,
      Consumer<Boolean> onEnd) {
    if (commit == null || rule.isSatisfied(group, commit)) {
      onEnd.accept(true);
      return;
    }
    Line line = lines.computeIfAbsent(group.name(), name -> new Line());
    line.pending.add(new Pending(organisation, commit, deadlineNanos, onEnd));
    if (!line.asking) {
      ask(group, line);
    }
  }

  private void ask(GroupState group, Line line) {
    settle(group, line);
    line.asking = !line.pending.isEmpty();
    if (!line.asking) {
      return;
    }
    List<TargetState> replicas = group.replicas();
    if (replicas.isEmpty()) {
      again(group, line);
      return;
    }
    TargetState replica = replicas.get(line.turn++ % replicas.size());
    TargetPool pool = pools.poolFor(replica);
    long untilNanos = loop.nowNanos() + ASK_NANOS;
    pool.acquire(
        line.pending.get(0).organisation,
        0,
        untilNanos,
        new TargetPool.AcquireListener() {
          @Override
          public void acquired(TargetConnection connection) {
            pools.requestReport(
                connection,
                untilNanos,
                report -> {
                  if (report != null) {
                    replica.recordReceived(report.received());
                  }
                  again(group, line);
                });
          }

          @Override
          public void refused(String reason) {
            again(group, line);
          }
        });
  }

  private void again(GroupState group, Line line) {
    settle(group, line);
    loop.after(POLL_MS, () -> ask(group, line));
  }

  private void settle(GroupState group, Line line) {
    List<Pending> confirmed = new ArrayList<>();
    List<Pending> late = new ArrayList<>();
    for (Iterator<Pending> each = line.pending.iterator(); each.hasNext(); ) {
      Pending next = each.next();
      if (rule.isSatisfied(group, next.commit)) {
        confirmed.add(next);
        each.remove();
      } else if (next.deadlineNanos - loop.nowNanos() <= 0) {
        late.add(next);
        each.remove();
      }
    }
    confirmed.forEach(commit -> commit.onEnd.accept(true));
    late.forEach(commit -> commit.onEnd.accept(false));
  }
}
