package io.hickorydrift.proxy.home;

import io.hickorydrift.core.flow.BeginFlow;
import io.hickorydrift.core.flow.ReadFlow;
import io.hickorydrift.core.flow.ReadRequest;
import io.hickorydrift.core.flow.StatementFlow;
import io.hickorydrift.core.flow.WriteFlow;
import io.hickorydrift.core.flow.WriteRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetChooser;

/**
 * Creates the flow that serves a request.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class FlowFactory {
  private final GroupView view;
  private final TargetChooser chooser;
  private final TransactionTable transactions;

  FlowFactory(GroupView view, TargetChooser chooser, TransactionTable transactions) {
    this.view = view;
    this.chooser = chooser;
    this.transactions = transactions;
  }

  /** Sets the flow of {@code request}; returns false if its transaction is not open or is busy. */
  boolean assignFlow(HomeRequest request, long nowNanos) {
    HomeOp op = request.forwarded.op();
    if (op == HomeOp.READ) {
      request.flow = new ReadFlow(view, chooser, createReadRequest(request, nowNanos));
    } else if (op == HomeOp.WRITE) {
      request.flow =
          WriteFlow.write(view, createWriteRequest(request, request.forwarded.requestId()));
    } else if (op == HomeOp.BEGIN) {
      request.flow = new BeginFlow(view, request.forwarded.organisation(), request.deadlineNanos);
    } else {
      return assignFlowInTransaction(request, nowNanos);
    }
    return true;
  }

  private boolean assignFlowInTransaction(HomeRequest request, long nowNanos) {
    String id = request.forwarded.transactionId();
    HomeTransaction transaction =
        transactions.find(id, request.forwarded.organisation(), view.group());
    if (transaction == null || transaction.busy) {
      if (request.forwarded.op() != HomeOp.COMMIT || transaction != null) {
        return false;
      }
      // An earlier commit may have taken effect: its outcome is looked up by the request id.
      request.flow = WriteFlow.resolveCommit(view, createWriteRequest(request, id));
      return true;
    }
    transaction.lastUsedNanos = nowNanos;
    transaction.busy = true;
    request.transaction = transaction;
    request.flow =
        request.forwarded.op() == HomeOp.COMMIT
            ? WriteFlow.commit(view, createWriteRequest(request, id), transaction.target)
            : new StatementFlow(transaction.target, statement(request));
    return true;
  }

  private TargetRequest statement(HomeRequest request) {
    boolean rollback = request.forwarded.op() == HomeOp.ROLLBACK;
    return TargetRequest.builder()
        .op(rollback ? TargetOp.ROLLBACK : TargetOp.STATEMENT)
        .term(view.term())
        .organisation(request.forwarded.organisation())
        .sql(request.forwarded.sql())
        .params(request.forwarded.params())
        .build();
  }

  private static ReadRequest createReadRequest(HomeRequest request, long nowNanos) {
    return new ReadRequest(
        request.forwarded.organisation(),
        request.forwarded.sql(),
        request.forwarded.params(),
        request.forwarded.sessionPosition(),
        request.forwarded.maxAgeMs(),
        nowNanos,
        request.deadlineNanos);
  }

  private static WriteRequest createWriteRequest(HomeRequest request, String requestId) {
    boolean commit = request.forwarded.op() == HomeOp.COMMIT;
    return new WriteRequest(
        request.forwarded.organisation(),
        commit ? null : request.forwarded.sql(),
        request.forwarded.params(),
        requestId,
        request.deadlineNanos);
  }
}
