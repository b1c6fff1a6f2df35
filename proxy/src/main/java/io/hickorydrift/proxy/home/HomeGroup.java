package io.hickorydrift.proxy.home;

import io.hickorydrift.core.config.Settings.Group;
import io.hickorydrift.core.config.Settings.Target;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.flow.BeginFlow;
import io.hickorydrift.core.flow.ExchangeFailure;
import io.hickorydrift.core.flow.Refusal;
import io.hickorydrift.core.flow.Step;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetView;
import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.target.TargetConnection;
import io.hickorydrift.proxy.target.TargetConnector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A database group at one of its homes: runs the flows of requests against the group's targets.
 *
 * <p>Invariant: each request is answered exactly once. Thread safety: confined to the home duty.
 */
final class HomeGroup {
  private final Group group;
  private final GroupView view;
  private final FlowFactory flows;
  private final GroupPoller poller;
  private final TransactionTable transactions;
  private final Map<String, TargetPool> pools = new HashMap<>();
  private final Map<String, ControlChannel> channels = new HashMap<>();
  private final Set<HomeRequest> waiting = new LinkedHashSet<>();
  private Consumer<String> onSilentPoll = target -> {};
  private long watchedTerm;
  private String watchedPrimary;

  HomeGroup(
      Group group,
      TargetConnector connector,
      Worker duty,
      Policy policy,
      TransactionTable transactions) {
    this.group = group;
    this.transactions = transactions;
    List<String> ids = new ArrayList<>();
    for (Target target : group.targets()) {
      ids.add(target.id());
      pools.put(
          target.id(), new TargetPool(target.address(), connector, duty, policy.fairQueues()));
      channels.put(target.id(), new ControlChannel(target.address(), connector, duty));
    }
    view = new GroupView(group.name(), ids);
    flows = new FlowFactory(view, policy.chooser(), transactions);
    poller = new GroupPoller(view, channels, new PollListener());
  }

  private final class PollListener implements GroupPoller.Listener {
    @Override
    public void polled(String target, TargetAnswer answer, long sentNanos) {
      observe(target, answer, sentNanos, System.nanoTime());
    }

    @Override
    public void silent(String target) {
      onSilentPoll.accept(target);
    }
  }

  Group group() {
    return group;
  }

  GroupView view() {
    return view;
  }

  ControlChannel channel(String target) {
    return channels.get(target);
  }

  /** Has {@code listener} told of targets that did not answer a poll. */
  void setSilentPollListener(Consumer<String> listener) {
    onSilentPoll = listener;
  }

  /** Returns whether requests used the group lately. */
  boolean inUse(long nowNanos) {
    return poller.inUse(nowNanos);
  }

  int openConnections() {
    int open = 0;
    for (TargetPool pool : pools.values()) {
      open += pool.open();
    }
    return open;
  }

  /** Sets how many connections this home may use to a target, its control connection included. */
  void setConnections(String target, int connections) {
    pools.get(target).setLimit(Math.max(0, connections - 1));
  }

  void serve(HomeRequest request, long nowNanos) {
    poller.used(nowNanos);
    if (!flows.prepare(request, nowNanos)) {
      request.reply.accept(Refusal.of(ResultCode.NO_TRANSACTION, 0));
      return;
    }
    take(request, request.flow.start(nowNanos), nowNanos);
  }

  /** Takes in what a target answered, and lets waiting requests go on. */
  void observe(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    view.observe(target, answer, sentNanos);
    retireFormerPrimary();
    resumeWaiting(nowNanos, false);
  }

  /**
   * Gives up what is under way at a primary whose term is over. It may never answer, and nothing it
   * still does can be acknowledged.
   */
  private void retireFormerPrimary() {
    if (view.term() > watchedTerm) {
      if (watchedPrimary != null) {
        pools.get(watchedPrimary).retireAll();
      }
      watchedTerm = view.term();
      watchedPrimary = null;
    }
    watchedPrimary = view.primary();
  }

  void tick(long nowNanos) {
    retireFormerPrimary();
    for (TargetPool pool : pools.values()) {
      pool.tick(nowNanos);
    }
    resumeWaiting(nowNanos, true);
    for (HomeTransaction idle : transactions.expire(group.name(), nowNanos)) {
      endTransaction(idle, false);
    }
    poller.poll(nowNanos);
  }

  void close() {
    for (HomeTransaction transaction : transactions.of(group.name())) {
      endTransaction(transaction, false);
    }
    pools.values().forEach(TargetPool::close);
    channels.values().forEach(ControlChannel::close);
    for (HomeRequest request : new ArrayList<>(waiting)) {
      take(request, request.flow.resume(request.deadlineNanos), request.deadlineNanos);
    }
  }

  private void take(HomeRequest request, Step step, long nowNanos) {
    if (step instanceof Step.Ask ask) {
      waiting.remove(request);
      ask(request, ask, nowNanos);
    } else if (step instanceof Step.Wait wait) {
      request.wakeNanos = wait.untilNanos();
      waiting.add(request);
    } else if (step instanceof Step.Finish finish) {
      waiting.remove(request);
      finish(request, finish.answer(), nowNanos);
    }
  }

  private void ask(HomeRequest request, Step.Ask ask, long nowNanos) {
    TargetPool pool = pools.get(ask.target());
    TargetView target = view.target(ask.target());
    target.begin();
    TargetPool.Listener listener = listener(request, ask, target);
    TargetOp op = ask.request().op();
    if (op == TargetOp.BEGIN) {
      borrowAndBegin(request, ask, pool, listener, nowNanos);
    } else if (request.transaction != null && op != TargetOp.WRITE) {
      pool.run(
          request.transaction.connection,
          request.request.organisation(),
          ask.request(),
          request.deadlineNanos,
          listener,
          false);
    } else {
      pool.exchange(
          request.request.organisation(),
          request.weight,
          ask.request(),
          request.deadlineNanos,
          nowNanos,
          listener);
    }
  }

  private TargetPool.Listener listener(HomeRequest request, Step.Ask ask, TargetView target) {
    return new TargetPool.Listener() {
      @Override
      public void answered(TargetAnswer answer, long sentNanos) {
        target.end();
        final long nowNanos = System.nanoTime();
        leaveTransaction(request, ask.request().op(), answer.status() == TargetStatus.OK);
        settleBegin(request, answer.status() == TargetStatus.OK);
        view.observe(ask.target(), answer, sentNanos);
        retireFormerPrimary();
        take(request, request.flow.answered(ask.target(), answer, sentNanos, nowNanos), nowNanos);
        resumeWaiting(nowNanos, false);
        if (answer.position() != null) {
          poller.await(answer.position(), nowNanos);
        }
      }

      @Override
      public void failed(ExchangeFailure failure) {
        target.end();
        long nowNanos = System.nanoTime();
        leaveTransaction(request, ask.request().op(), false);
        settleBegin(request, false);
        take(request, request.flow.failed(ask.target(), failure, nowNanos), nowNanos);
      }
    };
  }

  private void borrowAndBegin(
      HomeRequest request,
      Step.Ask ask,
      TargetPool pool,
      TargetPool.Listener listener,
      long nowNanos) {
    pool.borrow(
        request.request.organisation(),
        request.weight,
        request.deadlineNanos,
        nowNanos,
        connection -> {
          if (connection == null) {
            listener.failed(ExchangeFailure.NOT_SENT);
            return;
          }
          request.begun = connection;
          request.begunOn = ask.target();
          pool.run(
              connection,
              request.request.organisation(),
              ask.request(),
              request.deadlineNanos,
              listener,
              false);
        },
        () -> listener.failed(ExchangeFailure.QUEUE_FULL));
  }

  private void settleBegin(HomeRequest request, boolean begun) {
    if (request.begun != null && !begun) {
      TargetConnection connection = request.begun;
      request.begun = null;
      pools.get(request.begunOn).giveBack(connection, request.request.organisation());
    }
  }

  private void leaveTransaction(HomeRequest request, TargetOp op, boolean succeeded) {
    HomeTransaction transaction = request.transaction;
    if (transaction == null) {
      return;
    }
    transaction.busy = false;
    boolean over = op == TargetOp.COMMIT || op == TargetOp.ROLLBACK;
    if (over || !transaction.connection.usable()) {
      endTransaction(transaction, succeeded);
      request.transaction = null;
    }
  }

  private void endTransaction(HomeTransaction transaction, boolean clean) {
    if (!transactions.remove(transaction)) {
      return;
    }
    if (!clean) {
      transaction.connection.close();
    }
    pools.get(transaction.target).giveBack(transaction.connection, transaction.organisation);
  }

  private void finish(HomeRequest request, ForwardAnswer answer, long nowNanos) {
    if (request.begun != null && answer.code() == ResultCode.OK.number()) {
      HomeTransaction opened =
          transactions.open(
              group.name(),
              request.request.organisation(),
              request.begunOn,
              request.begun,
              nowNanos);
      request.reply.accept(BeginFlow.named(answer, opened.id));
      return;
    }
    request.reply.accept(answer);
  }

  private void resumeWaiting(long nowNanos, boolean onlyDue) {
    if (waiting.isEmpty()) {
      return;
    }
    for (HomeRequest request : new ArrayList<>(waiting)) {
      if (waiting.contains(request) && (!onlyDue || nowNanos - request.wakeNanos >= 0)) {
        take(request, request.flow.resume(nowNanos), nowNanos);
      }
    }
  }
}
