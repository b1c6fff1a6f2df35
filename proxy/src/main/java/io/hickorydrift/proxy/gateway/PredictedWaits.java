package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.scheduling.ImmediateRefusal;
import io.hickorydrift.core.scheduling.RecoveryPhase;
import io.hickorydrift.core.scheduling.RefusedReturns;
import io.hickorydrift.core.scheduling.StatementWindow;
import io.hickorydrift.core.scheduling.WaitPrediction;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tinylog.Logger;

/**
 * Predicts the waits of statements for one target and compares them with the actual ones. Spreads
 * the returns of the callers that are refused.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PredictedWaits {
  private final EventLoop loop;
  private final ConnectionWaiters waiters;
  private final StatementWindow window;
  private final WaitObserver observer;
  private final TargetState target;
  private final WaitPrediction prediction = new WaitPrediction();
  private final RecoveryPhase recovery = new RecoveryPhase();
  private final RefusedReturns returns = new RefusedReturns();
  private boolean recovering;

  PredictedWaits(
      EventLoop loop,
      TargetState target,
      ConnectionWaiters waiters,
      StatementWindow window,
      WaitObserver observer) {
    this.loop = loop;
    this.target = target;
    this.waiters = waiters;
    this.window = window;
    this.observer = observer;
  }

  /** Returns the predicted wait of {@code request} behind those that are served before it. */
  long predict(WaitingRequest request) {
    return prediction.waitNanos(waiters.countBefore(request), loop.nowNanos());
  }

  /**
   * Returns the refusal of a statement that would wait for too long, or null. While the target
   * recovers from an outage, all statements wait.
   */
  WaitRefusal refusal(WaitingRequest request, long timeoutNanos, double unitHash) {
    recovery.recordWaiting(loop.nowNanos());
    if (isRecovering()) {
      return null;
    }
    long predictedNanos = predict(request);
    boolean queuedAtItsPriority = waiters.hasPriority(request.priority());
    long retryAfterMs =
        ImmediateRefusal.retryAfterMs(
            request, predictedNanos, timeoutNanos, queuedAtItsPriority, unitHash, loop.nowNanos());
    return retryAfterMs == ImmediateRefusal.WAIT
        ? null
        : new WaitRefusal(
            TimeUnit.NANOSECONDS.toMillis(predictedNanos),
            waiters.count(),
            window.size(),
            retryAfterMs);
  }

  /**
   * Returns the delay that a refused caller is told, and counts the caller. Without urgent work in
   * the group, it is {@code minDelayMs}.
   */
  long returnDelayMs(Route route, long minDelayMs, double unitHash) {
    if (!waiters.isFair()) {
      return minDelayMs;
    }
    return returns.delayMs(
        route.priority(),
        minDelayMs,
        route.statementTimeoutMs(),
        prediction.intervalNanos(),
        unitHash,
        loop.nowNanos());
  }

  /** Returns whether the target works through the requests that an outage has left. */
  boolean isRecovering() {
    return recovery.isActive(loop.nowNanos());
  }

  /** Returns the waiting requests in the order in which they are served. */
  List<ConnectionWaiters.Waiter> serviceOrder(Predicate<ConnectionWaiters.Waiter> isReady) {
    return recovery.serviceOrder(waiters.items(), isReady, loop.nowNanos());
  }

  private void logRecovery() {
    if (recovering != isRecovering()) {
      recovering = !recovering;
      Logger.info(
          "event=target_recovery target={} state={} waiting={}",
          target.entry().id(),
          recovering ? "begun" : "ended",
          waiters.count());
    }
  }

  /** Records that the target has run a statement. */
  void onAnswered() {
    observer.answered();
  }

  /** Records that {@code waiter} has left the queue with a connection. */
  void onServed(ConnectionWaiters.Waiter waiter) {
    if (!waiters.isFair() || !waiter.forStatement()) {
      return;
    }
    long nowNanos = loop.nowNanos();
    prediction.recordServed(!waiters.isEmpty(), nowNanos);
    recovery.recordServed(!waiters.isEmpty(), nowNanos);
    logRecovery();
    WaitingRequest request = waiter.request();
    observer.served(request.priority(), nowNanos - request.sinceNanos(), waiter.predictedNanos());
  }
}
