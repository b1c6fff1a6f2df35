package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.scheduling.LinkWindow;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The statements that this instance forwards over one link: those that wait for a place in the
 * link's {@link LinkWindow}, those that wait until a ping shows that the link works, and those that
 * were sent.
 *
 * <p>Invariant: each statement ends exactly once, and then gives its place back. It is reported as
 * not sent or refused only if none of it was sent. Thread safety: confined to the loop's thread.
 */
final class OutboundForwards {
  static final String TOO_LARGE_REASON =
      "statement with its session values and prepared statement is too large for its home";

  // The home responds within the statement's timeout; the delays of the link are added to it.
  private static final long FORWARD_MARGIN_MS = 300;
  // The time in which a link between regions carries the messages that wait.
  private static final long BACKLOG_RETRY_MS = 100;

  /** Receives the end of a forwarded statement. */
  interface Listener {
    /** The peer answered. */
    void answered(StatementOutcome outcome);

    /** The statement was sent, and the link closed or the timeout expired before an answer. */
    void lost();

    /** Nothing was sent; the statement may be sent elsewhere. */
    void notSent();

    /** Nothing was sent, since too many statements are outstanding at the peer. */
    void refused(long retryAfterMs);

    /** Nothing was sent, since the statement is too long for a message between instances. */
    void tooLarge();
  }

  /**
   * How a statement is sent.
   *
   * @param timeoutMs time within which the peer responds
   * @param atOnce whether to send it before a ping has shown that the link works; if it does not,
   *     the statement is lost, which is noticed as early as otherwise. Waiting for a ping takes a
   *     round trip
   * @param byLocality whether the peer is a home by locality, so that the bound of the link applies
   * @param rank rank among those that wait for a place; the lowest is first
   */
  record Delivery(long timeoutMs, boolean atOnce, boolean byLocality, int rank) {}

  /** A forwarded statement. */
  final class Forwarded {
    private final PeerMessage.Forward message;
    private final Delivery delivery;
    private final Listener listener;
    private final long sinceNanos = loop.nowNanos();
    private EventLoop.Timer timer;
    private long correlation;
    private boolean hasPlace;

    private Forwarded(PeerMessage.Forward message, Delivery delivery, Listener listener) {
      this.message = message;
      this.delivery = delivery;
      this.listener = listener;
    }

    /**
     * Cancels the statement, whose caller is gone. One that was not sent ends as not sent. A home
     * by locality that understands it is told; its answer ends the statement.
     */
    void cancel() {
      if (window.remove(this) || held.remove(this)) {
        finish(this);
        listener.notSent();
      } else if (delivery.byLocality && sent.get(correlation) == this && peerKnowsCancel) {
        link.send(new PeerMessage.Cancel(correlation));
      }
    }

    /** Removes the statement, whose transaction is ended at the home; its listener is not told. */
    void drop() {
      if (window.remove(this) || held.remove(this) || sent.remove(correlation, this)) {
        finish(this);
      }
    }
  }

  /** The link that carries the statements. */
  interface Link {
    /** Sends a message if the link is open, and returns whether it was sent. */
    boolean send(PeerMessage message);

    /** Returns whether a message with texts of that length can wait to be sent. */
    boolean hasRoomFor(long textLength);

    /** Returns whether data was received so recently that a statement may be sent at once. */
    boolean hasRecentlyReceived();

    /** Sends a ping, unless one is awaited; the link closes if nothing is received after it. */
    void probe();

    /** Counts a statement that waits for the answer to a ping. */
    void recordHeldForPing();
  }

  private final EventLoop loop;
  private final Link link;
  private final LinkWindow<Forwarded> window = new LinkWindow<>();
  private final List<Forwarded> held = new ArrayList<>();
  private final Map<Long, Forwarded> sent = new LinkedHashMap<>();
  private long lastCorrelation;
  private boolean peerKnowsCancel;

  OutboundForwards(EventLoop loop, Link link) {
    this.loop = loop;
    this.link = link;
  }

  /** Sets whether the peer understands {@link PeerMessage.Cancel}. */
  void setPeerKnowsCancel(boolean knows) {
    peerKnowsCancel = knows;
  }

  /**
   * Adds a statement and sends it as soon as it may be sent. Returns null if it is too long to be
   * sent.
   */
  Forwarded add(PeerMessage.Forward message, Delivery delivery, Listener listener) {
    if (!PeerMessageCodec.fits(message, ForwardCodec.textLength(message))) {
      listener.tooLarge();
      return null;
    }
    Forwarded added = new Forwarded(message, delivery, listener);
    if (delivery.byLocality && !window.tryTake()) {
      long waitMs = Math.min(LinkWindow.MAX_WAIT_MS, delivery.timeoutMs);
      added.timer = loop.after(waitMs, () -> expire(added));
      window.add(delivery.rank, added);
      return added;
    }
    added.hasPlace = delivery.byLocality;
    deliver(added);
    return added;
  }

  private void expire(Forwarded waiting) {
    if (window.remove(waiting)) {
      double hash = Rendezvous.unitHash(waiting.message.statement().id(), "link");
      waiting.listener.refused(window.refuse(hash));
    }
  }

  private void deliver(Forwarded next) {
    boolean recent = link.hasRecentlyReceived();
    if (recent || next.delivery.atOnce) {
      send(next);
    } else {
      held.add(next);
      link.recordHeldForPing();
    }
    if (!recent) {
      link.probe();
    }
  }

  private void send(Forwarded next) {
    if (!link.hasRoomFor(ForwardCodec.textLength(next.message))) {
      finish(next);
      next.listener.refused(BACKLOG_RETRY_MS);
      return;
    }
    long correlation = ++lastCorrelation;
    PeerMessage.Forward forward = next.message;
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - next.sinceNanos);
    next.correlation = correlation;
    boolean isSent =
        link.send(
            new PeerMessage.Forward(
                correlation,
                forward.transaction(),
                forward.readOnly(),
                forward.organisation(),
                forward.route(),
                forward.statement(),
                forward.preparedStatement(),
                forward.values(),
                forward.lastCommit(),
                forward.counted(),
                forward.ageMs() + waitedMs,
                forward.allowed()));
    if (!isSent) {
      finish(next);
      next.listener.notSent();
      return;
    }
    sent.put(correlation, next);
    next.timer =
        loop.after(
            next.delivery.timeoutMs + FORWARD_MARGIN_MS,
            () -> {
              if (sent.remove(correlation) != null) {
                finish(next);
                next.listener.lost();
              }
            });
  }

  /** Sends the statements that waited until the link has shown that it works. */
  void sendHeld() {
    List<Forwarded> ready = List.copyOf(held);
    held.clear();
    ready.forEach(this::send);
  }

  /** Ends the statement that {@code result} answers. */
  void answered(PeerMessage.Result result) {
    Forwarded answered = sent.remove(result.correlation());
    if (answered != null) {
      finish(answered);
      answered.listener.answered(result.outcome());
    }
  }

  /** Ends all statements after the loss of the link. */
  void endAll() {
    final List<Forwarded> unsent = new ArrayList<>(held);
    final List<Forwarded> lost = List.copyOf(sent.values());
    unsent.addAll(window.removeAll());
    held.clear();
    sent.clear();
    unsent.forEach(this::finish);
    lost.forEach(this::finish);
    unsent.forEach(each -> each.listener.notSent());
    lost.forEach(each -> each.listener.lost());
  }

  /** Returns whether a statement awaits its answer. */
  boolean hasSent() {
    return !sent.isEmpty();
  }

  /** Returns whether a home by locality has not answered a statement yet. */
  boolean hasSentByLocality() {
    return sent.values().stream().anyMatch(each -> each.delivery.byLocality);
  }

  /** Returns the number of statements that wait for a place. */
  int waitingCount() {
    return window.waiting();
  }

  /** Gives the place of an ended statement to the next one. */
  private void finish(Forwarded ended) {
    if (ended.timer != null) {
      ended.timer.cancel();
    }
    if (!ended.hasPlace) {
      return;
    }
    ended.hasPlace = false;
    window.giveBack();
    Forwarded next = window.pollNext();
    if (next != null) {
      next.timer.cancel();
      next.hasPlace = true;
      deliver(next);
    }
  }
}
