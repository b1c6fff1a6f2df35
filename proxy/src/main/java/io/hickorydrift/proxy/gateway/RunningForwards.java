package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The forwarded statements outside transactions that run at this home, and the first ones of
 * transactions until they are admitted, by link and correlation number. Load pattern: callers give
 * up and are gone while their statements wait for a target that is slow; without cancellation,
 * those statements delay the ones that somebody waits for.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RunningForwards {
  /** A statement that runs at this instance. */
  interface Execution {
    /**
     * Ends the statement unless some of it was sent to a target. Returns whether it did; nothing is
     * reported then.
     */
    boolean cancel();
  }

  /** A forwarded statement, from its arrival to its outcome. */
  final class Running {
    private final InboundPeerLink link;
    private final long correlation;
    private final long transaction;
    // Null until the statement is admitted.
    private Execution execution;
    private boolean cancelled;

    private Running(InboundPeerLink link, PeerMessage.Forward forward) {
      this.link = link;
      correlation = forward.correlation();
      transaction = forward.transaction().number();
    }

    /** Returns whether the statement was cancelled. */
    boolean isCancelled() {
      return cancelled;
    }

    /** Records that {@code execution} runs the statement, which was admitted. */
    void begin(Execution begun) {
      execution = begun;
    }

    private boolean cancel() {
      if (cancelled || execution != null && !execution.cancel()) {
        return false;
      }
      cancelled = true;
      remove(this);
      return true;
    }
  }

  private final Map<InboundPeerLink, Map<Long, Running>> statements = new HashMap<>();
  private final Runnable onCancelled;

  /** Creates an empty set; {@code onCancelled} is called for each statement that is cancelled. */
  RunningForwards(Runnable onCancelled) {
    this.onCancelled = onCancelled;
  }

  Running add(InboundPeerLink link, PeerMessage.Forward forward) {
    Running added = new Running(link, forward);
    statements.computeIfAbsent(link, key -> new HashMap<>()).put(added.correlation, added);
    return added;
  }

  void remove(Running ended) {
    Map<Long, Running> ofLink = statements.get(ended.link);
    if (ofLink != null && ofLink.remove(ended.correlation, ended) && ofLink.isEmpty()) {
      statements.remove(ended.link);
    }
  }

  /** Cancels a statement if none of it was sent to a target, and answers it. */
  void cancel(InboundPeerLink link, long correlation, Consumer<StatementOutcome> onOutcome) {
    Map<Long, Running> ofLink = statements.get(link);
    Running running = ofLink == null ? null : ofLink.get(correlation);
    if (running != null && running.cancel()) {
      onCancelled.run();
      onOutcome.accept(
          StatementOutcome.failed(FailureCode.ABORTED, "cancelled", SessionState.IDLE));
    }
  }

  /** Cancels the first statement of an ended transaction if it is not admitted yet. */
  void cancelTransaction(InboundPeerLink link, long transaction) {
    for (Running each : List.copyOf(statements.getOrDefault(link, Map.of()).values())) {
      if (each.transaction == transaction) {
        each.cancel();
      }
    }
  }

  /** Cancels the statements of a closed link, as far as none of them was sent to a target. */
  void cancelAll(InboundPeerLink link) {
    Map<Long, Running> ofLink = statements.remove(link);
    if (ofLink != null) {
      for (Running running : List.copyOf(ofLink.values())) {
        if (running.cancel()) {
          onCancelled.run();
        }
      }
    }
  }
}
