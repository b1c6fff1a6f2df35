package io.hickorydrift.proxy.home;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetView;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a home's view of a group in use up to date: waits for unconfirmed writes at the replicas,
 * and polls the status of targets without another recent exchange.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class GroupPoller {
  private static final long IN_USE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long AWAIT_TIMEOUT_MS = 50;
  private static final long POLL_TIMEOUT_MS = 300;

  /** Receives the results of polls. */
  interface Listener {
    /** Called when a target has answered a poll. */
    void onAnswer(String target, TargetAnswer answer, long sentNanos);

    /** Called when a poll has ended without an answer. */
    void onNoAnswer(String target);
  }

  private final GroupView view;
  private final Map<String, ControlChannel> channels;
  private final Listener listener;
  private final Map<String, Long> polledNanos = new HashMap<>();
  private Position awaitedPosition = Positions.START;
  private long lastUsedNanos = Long.MIN_VALUE;

  GroupPoller(GroupView view, Map<String, ControlChannel> channels, Listener listener) {
    this.view = view;
    this.channels = channels;
    this.listener = listener;
  }

  /** Records that a request uses the group. */
  void recordUse(long nowNanos) {
    lastUsedNanos = nowNanos;
  }

  /** Returns whether a request used the group within the last {@code IN_USE_WINDOW_NANOS}. */
  boolean inUse(long nowNanos) {
    return lastUsedNanos != Long.MIN_VALUE && nowNanos - lastUsedNanos < IN_USE_WINDOW_NANOS;
  }

  /** Polls the replicas at once for {@code position}, whose confirmation a write waits for. */
  void awaitReplicas(Position position, long nowNanos) {
    awaitedPosition = Positions.later(awaitedPosition, position);
    poll(nowNanos);
  }

  /** Polls the positions of targets without another recent exchange. */
  void poll(long nowNanos) {
    boolean unconfirmed =
        awaitedPosition.term() == view.term() && !view.isConfirmed(awaitedPosition);
    if (!inUse(nowNanos) || view.primary() == null) {
      return;
    }
    for (TargetView target : view.targets()) {
      boolean primary = target.id().equals(view.primary());
      boolean awaitsPosition = unconfirmed && !primary;
      Long last = polledNanos.get(target.id());
      boolean recentlyPolled = last != null && nowNanos - last < POLL_INTERVAL_NANOS;
      boolean recentlyAnswered = target.answeredInTermWithin(POLL_INTERVAL_NANOS, nowNanos);
      if (awaitsPosition || (!recentlyPolled && !(primary && recentlyAnswered))) {
        pollTarget(target.id(), awaitsPosition, nowNanos);
      }
    }
  }

  private void pollTarget(String target, boolean awaitsPosition, long nowNanos) {
    TargetRequest request =
        TargetRequest.builder()
            .op(awaitsPosition ? TargetOp.AWAIT : TargetOp.STATUS)
            .term(view.term())
            .position(awaitsPosition ? awaitedPosition : null)
            .waitMs(awaitsPosition ? AWAIT_TIMEOUT_MS : 0)
            .build();
    boolean sent =
        channels
            .get(target)
            .exchange(
                request,
                false,
                POLL_TIMEOUT_MS,
                (answer, sentNanos) -> {
                  if (answer != null) {
                    listener.onAnswer(target, answer, sentNanos);
                    poll(System.nanoTime());
                  } else {
                    listener.onNoAnswer(target);
                  }
                });
    if (sent) {
      polledNanos.put(target, nowNanos);
    }
  }
}
