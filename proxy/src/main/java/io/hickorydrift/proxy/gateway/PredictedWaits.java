package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.scheduling.ImmediateRefusal;
import io.hickorydrift.core.scheduling.StatementWindow;
import io.hickorydrift.core.scheduling.WaitPrediction;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Predicts the waits of statements for one target and compares them with the actual ones.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class PredictedWaits {
  private final EventLoop loop;
  private final ConnectionWaiters waiters;
  private final StatementWindow window;
  private final WaitObserver observer;
  private final WaitPrediction prediction = new WaitPrediction();

  PredictedWaits(
      EventLoop loop, ConnectionWaiters waiters, StatementWindow window, WaitObserver observer) {
    this.loop = loop;
    this.waiters = waiters;
    this.window = window;
    this.observer = observer;
  }

  /** Returns the predicted wait of {@code request} behind those that are served before it. */
  long predict(WaitingRequest request) {
    return prediction.waitNanos(waiters.countBefore(request), loop.nowNanos());
  }

  /** Returns the refusal of a statement that would wait for too long, or null. */
  WaitRefusal refusal(WaitingRequest request, long timeoutNanos, double unitHash) {
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

  /** Records that {@code waiter} has left the queue with a connection. */
  void onServed(ConnectionWaiters.Waiter waiter) {
    if (!waiters.isFair() || !waiter.forStatement()) {
      return;
    }
    long nowNanos = loop.nowNanos();
    prediction.recordServed(!waiters.isEmpty(), nowNanos);
    WaitingRequest request = waiter.request();
    observer.served(request.priority(), nowNanos - request.sinceNanos(), waiter.predictedNanos());
  }
}
