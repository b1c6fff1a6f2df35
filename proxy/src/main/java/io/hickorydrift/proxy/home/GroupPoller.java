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
 * Keeps a home's knowledge of a group in use fresh: awaits unconfirmed writes at the replicas, and
 * asks targets for their state where no other exchange has told it lately.
 *
 * <p>Thread safety: confined to the home duty.
 */
final class GroupPoller {
  private static final long IN_USE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long AWAIT_TIMEOUT_MS = 50;
  private static final long POLL_TIMEOUT_MS = 300;

  /** Learns what polls bring. */
  interface Listener {
    /** A target answered. */
    void onAnswer(String target, TargetAnswer answer, long sentNanos);

    /** A target did not answer. */
    void onNoAnswer(String target);
  }

  private final GroupView view;
  private final Map<String, ControlChannel> channels;
  private final Listener listener;
  private final Map<String, Long> polledNanos = new HashMap<>();
  private Position awaited = Positions.START;
  private long lastUsedNanos = Long.MIN_VALUE;

  GroupPoller(GroupView view, Map<String, ControlChannel> channels, Listener listener) {
    this.view = view;
    this.channels = channels;
    this.listener = listener;
  }

  /** Notes that the group is in use. */
  void recordUse(long nowNanos) {
    lastUsedNanos = nowNanos;
  }

  /** Returns whether requests used the group lately. */
  boolean inUse(long nowNanos) {
    return lastUsedNanos != Long.MIN_VALUE && nowNanos - lastUsedNanos < IN_USE_WINDOW_NANOS;
  }

  /** Has the replicas asked at once for {@code position}, which a write waits for. */
  void awaitReplicas(Position position, long nowNanos) {
    awaited = Positions.later(awaited, position);
    poll(nowNanos);
  }

  /** Asks targets for their positions where no other exchange has told them lately. */
  void poll(long nowNanos) {
    boolean unconfirmed = awaited.term() == view.term() && !view.isConfirmed(awaited);
    if (!inUse(nowNanos) || view.primary() == null) {
      return;
    }
    for (TargetView target : view.targets()) {
      boolean primary = target.id().equals(view.primary());
      boolean awaits = unconfirmed && !primary;
      Long last = polledNanos.get(target.id());
      boolean recent = last != null && nowNanos - last < POLL_INTERVAL_NANOS;
      boolean heard = target.answeredInTermWithin(POLL_INTERVAL_NANOS, nowNanos);
      if (awaits || (!recent && !(primary && heard))) {
        pollTarget(target.id(), awaits, nowNanos);
      }
    }
  }

  private void pollTarget(String target, boolean awaits, long nowNanos) {
    TargetRequest request =
        TargetRequest.builder()
            .op(awaits ? TargetOp.AWAIT : TargetOp.STATUS)
            .term(view.term())
            .position(awaits ? awaited : null)
            .waitMs(awaits ? AWAIT_TIMEOUT_MS : 0)
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
