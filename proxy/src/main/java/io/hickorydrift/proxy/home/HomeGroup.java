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
 * <p>Invariant: each request is answered exactly once. Thread safety: confined to the home worker.
 */
final class HomeGroup {
  private final Group group;
  private final GroupView view;
  private final FlowFactory flows;
  private final GroupPoller poller;
  private final TransactionTable transactions;
  private final Map<String, HomeTargetPool> pools = new HashMap<>();
  private final Map<String, ControlChannel> channels = new HashMap<>();
  private final Set<HomeRequest> waiting = new LinkedHashSet<>();
  private Consumer<String> unansweredPollListener = target -> {};
  private long lastTerm;
  private String lastPrimary;

  HomeGroup(
      Group group,
      TargetConnector connector,
      Worker worker,
      Policy policy,
      TransactionTable transactions) {
    this.group = group;
    this.transactions = transactions;
    List<String> ids = new ArrayList<>();
    for (Target target : group.targets()) {
      ids.add(target.id());
      pools.put(
          target.id(),
          new HomeTargetPool(target.address(), connector, worker, policy.fairQueues()));
      channels.put(target.id(), new ControlChannel(target.address(), connector, worker));
    }
    view = new GroupView(group.name(), ids);
    flows = new FlowFactory(view, policy.chooser(), transactions);
    poller = new GroupPoller(view, channels, new PollListener());
  }

  private final class PollListener implements GroupPoller.Listener {
    @Override
    public void onAnswer(String target, TargetAnswer answer, long sentNanos) {
      onTargetAnswer(target, answer, sentNanos, System.nanoTime());
    }

    @Override
    public void onNoAnswer(String target) {
      unansweredPollListener.accept(target);
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

  /** Sets the listener for the ids of targets that did not answer a poll. */
  void setUnansweredPollListener(Consumer<String> listener) {
    unansweredPollListener = listener;
  }

  /** Returns whether a request used the group within the last few seconds. */
  boolean inUse(long nowNanos) {
    return poller.inUse(nowNanos);
  }

  int openConnections() {
    int open = 0;
    for (HomeTargetPool pool : pools.values()) {
      open += pool.openConnections();
    }
    return open;
  }

  /** Limits this home's connections to a target, including its control connection. */
  void setConnections(String target, int connections) {
    pools.get(target).setLimit(Math.max(0, connections - 1));
  }

  void serve(HomeRequest request, long nowNanos) {
    poller.recordUse(nowNanos);
    if (!flows.assignFlow(request, nowNanos)) {
      request.reply.accept(Refusal.of(ResultCode.NO_TRANSACTION, 0));
      return;
    }
    applyStep(request, request.flow.start(nowNanos), nowNanos);
  }

  /** Updates the group's view with a target's answer and resumes waiting requests. */
  void onTargetAnswer(String target, TargetAnswer answer, long sentNanos, long nowNanos) {
    view.recordAnswer(target, answer, sentNanos);
    closeFormerPrimaryConnections();
    resumeWaiting(nowNanos, false);
  }

  /**
   * Closes the connections to the primary of an earlier term, which fails the exchanges in flight.
   * That primary may never answer, and its later commits cannot be acknowledged.
   */
  private void closeFormerPrimaryConnections() {
    if (view.term() > lastTerm) {
      if (lastPrimary != null) {
        pools.get(lastPrimary).closeAllConnections();
      }
      lastTerm = view.term();
      lastPrimary = null;
    }
    lastPrimary = view.primary();
  }

  void tick(long nowNanos) {
    closeFormerPrimaryConnections();
    for (HomeTargetPool pool : pools.values()) {
      pool.tick(nowNanos);
    }
    resumeWaiting(nowNanos, true);
    for (HomeTransaction idle : transactions.findExpired(group.name(), nowNanos)) {
      endTransaction(idle, false);
    }
    poller.poll(nowNanos);
  }

  void close() {
    for (HomeTransaction transaction : transactions.transactionsOf(group.name())) {
      endTransaction(transaction, false);
    }
    pools.values().forEach(HomeTargetPool::close);
    channels.values().forEach(ControlChannel::close);
    for (HomeRequest request : new ArrayList<>(waiting)) {
      applyStep(request, request.flow.resume(request.deadlineNanos), request.deadlineNanos);
    }
  }

  private void applyStep(HomeRequest request, Step step, long nowNanos) {
    if (step instanceof Step.SendRequest send) {
      waiting.remove(request);
      sendRequest(request, send, nowNanos);
    } else if (step instanceof Step.Wait wait) {
      request.resumeNanos = wait.untilNanos();
      waiting.add(request);
    } else if (step instanceof Step.Finish finish) {
      waiting.remove(request);
      finish(request, finish.answer(), nowNanos);
    }
  }

  private void sendRequest(HomeRequest request, Step.SendRequest send, long nowNanos) {
    HomeTargetPool pool = pools.get(send.target());
    TargetView target = view.target(send.target());
    target.recordExchangeStart();
    HomeTargetPool.Listener listener = exchangeListener(request, send, target);
    TargetOp op = send.request().op();
    if (op == TargetOp.BEGIN) {
      acquireAndBegin(request, send, pool, listener, nowNanos);
    } else if (request.transaction != null && op != TargetOp.WRITE) {
      pool.exchangeOn(
          request.transaction.connection,
          request.forwarded.organisation(),
          send.request(),
          request.deadlineNanos,
          listener,
          false);
    } else {
      pool.exchange(
          request.forwarded.organisation(),
          request.weight,
          send.request(),
          request.deadlineNanos,
          nowNanos,
          listener);
    }
  }

  private HomeTargetPool.Listener exchangeListener(
      HomeRequest request, Step.SendRequest send, TargetView target) {
    return new HomeTargetPool.Listener() {
      @Override
      public void onAnswer(TargetAnswer answer, long sentNanos) {
        target.recordExchangeEnd();
        final long nowNanos = System.nanoTime();
        onTransactionExchangeEnd(request, send.request().op(), answer.status() == TargetStatus.OK);
        releaseUnlessBegun(request, answer.status() == TargetStatus.OK);
        view.recordAnswer(send.target(), answer, sentNanos);
        closeFormerPrimaryConnections();
        applyStep(
            request, request.flow.onAnswer(send.target(), answer, sentNanos, nowNanos), nowNanos);
        resumeWaiting(nowNanos, false);
        if (answer.position() != null) {
          poller.awaitReplicas(answer.position(), nowNanos);
        }
      }

      @Override
      public void onFailure(ExchangeFailure failure) {
        target.recordExchangeEnd();
        long nowNanos = System.nanoTime();
        onTransactionExchangeEnd(request, send.request().op(), false);
        releaseUnlessBegun(request, false);
        applyStep(request, request.flow.onFailure(send.target(), failure, nowNanos), nowNanos);
      }
    };
  }

  private void acquireAndBegin(
      HomeRequest request,
      Step.SendRequest send,
      HomeTargetPool pool,
      HomeTargetPool.Listener listener,
      long nowNanos) {
    pool.acquire(
        request.forwarded.organisation(),
        request.weight,
        request.deadlineNanos,
        nowNanos,
        connection -> {
          if (connection == null) {
            listener.onFailure(ExchangeFailure.NOT_SENT);
            return;
          }
          request.begunConnection = connection;
          request.begunTarget = send.target();
          pool.exchangeOn(
              connection,
              request.forwarded.organisation(),
              send.request(),
              request.deadlineNanos,
              listener,
              false);
        },
        () -> listener.onFailure(ExchangeFailure.QUEUE_FULL));
  }

  private void releaseUnlessBegun(HomeRequest request, boolean begun) {
    if (request.begunConnection != null && !begun) {
      TargetConnection connection = request.begunConnection;
      request.begunConnection = null;
      pools.get(request.begunTarget).release(connection, request.forwarded.organisation());
    }
  }

  private void onTransactionExchangeEnd(HomeRequest request, TargetOp op, boolean succeeded) {
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
    pools.get(transaction.target).release(transaction.connection, transaction.organisation);
  }

  private void finish(HomeRequest request, ForwardAnswer answer, long nowNanos) {
    if (request.begunConnection != null && answer.code() == ResultCode.OK.number()) {
      HomeTransaction opened =
          transactions.open(
              group.name(),
              request.forwarded.organisation(),
              request.begunTarget,
              request.begunConnection,
              nowNanos);
      request.reply.accept(BeginFlow.withTransactionId(answer, opened.id));
      return;
    }
    request.reply.accept(answer);
  }

  private void resumeWaiting(long nowNanos, boolean onlyDue) {
    if (waiting.isEmpty()) {
      return;
    }
    for (HomeRequest request : new ArrayList<>(waiting)) {
      if (waiting.contains(request) && (!onlyDue || nowNanos - request.resumeNanos >= 0)) {
        applyStep(request, request.flow.resume(nowNanos), nowNanos);
      }
    }
  }
}
