package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Group;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.flow.Refusal;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.placement.HomeTable;
import io.hickorydrift.proxy.home.HomeService;
import io.hickorydrift.proxy.home.TransactionId;
import io.hickorydrift.proxy.peer.PeerNetwork;
import io.hickorydrift.proxy.runtime.TimerService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Routes callers' requests to a home of their group: this instance if it is one, else a peer,
 * preferring the own failure domain. If the link to a home breaks, reads and writes are sent to the
 * next home; writes keep their request id, so that they take effect once.
 *
 * <p>Invariant: each request is answered exactly once. Thread safety: safe for concurrent use.
 */
public final class Router {
  private static final long DEADLINE_GRACE_MS = 100;
  private static final long RETRY_DELAY_MS = 50;
  // A link is usually connected after a few round trips.
  private static final long ANSWER_RETRY_DELAY_MS = 5;
  private static final long RETRY_AFTER_MS = 200;

  private final String self;
  private final String failureDomain;
  private final HomeService home;
  private final PeerNetwork peers;
  private final TimerService timer;
  private final Map<Long, Attempt> inFlight = new ConcurrentHashMap<>();
  // A home may answer a request of the process before, over a link of its own.
  private final AtomicLong correlationIds =
      new AtomicLong(ThreadLocalRandom.current().nextLong(Long.MAX_VALUE / 2));
  private final AtomicLong forwardedInFlight = new AtomicLong();
  private volatile HomeTable homeTable;
  private volatile Map<Integer, String> slotHolders = Map.of();

  private final class Attempt {
    private final ForwardRequest request;
    private final Consumer<ForwardAnswer> reply;
    private final long deadlineNanos;
    private final AtomicBoolean answered = new AtomicBoolean();
    private volatile String peer;
    private volatile boolean sent;
    private volatile boolean mayHaveTakenEffect;
    private final List<String> failedInstances = new CopyOnWriteArrayList<>();

    private Attempt(ForwardRequest request, Consumer<ForwardAnswer> reply, long deadlineNanos) {
      this.request = request;
      this.reply = reply;
      this.deadlineNanos = deadlineNanos;
    }

    private void complete(ForwardAnswer answer) {
      if (answered.compareAndSet(false, true)) {
        reply.accept(answer);
      }
    }
  }

  Router(
      String self, String failureDomain, HomeService home, PeerNetwork peers, TimerService timer) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.home = home;
    this.peers = peers;
    this.timer = timer;
  }

  /** Sets the live instances that hold slots, including this one, by slot. */
  void setSlotHolders(Map<Integer, String> holders) {
    slotHolders = Map.copyOf(holders);
  }

  /** Routes a request; {@code reply} is called once, on any thread. */
  public void route(ForwardRequest request, Settings settings, Consumer<ForwardAnswer> reply) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMs());
    Attempt attempt = new Attempt(request, reply, deadlineNanos);
    timer.after(request.deadlineMs() + DEADLINE_GRACE_MS, () -> expire(attempt));
    dispatch(attempt, settings);
  }

  /** Serves a request that a peer forwarded to this home. */
  void onForwardRequest(String peer, ForwardRequest request) {
    forwardedInFlight.incrementAndGet();
    long endNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMs() + DEADLINE_GRACE_MS);
    home.serve(
        request,
        answer -> sendAnswer(peer, withCorrelationId(answer, request.correlationId()), endNanos));
  }

  /**
   * Sends an answer, again if the link to the entry instance is not connected yet: that is opened
   * by the first attempt if the instances exchange no other messages. The entry instance does not
   * wait longer than until {@code endNanos}.
   */
  private void sendAnswer(String peer, ForwardAnswer answer, long endNanos) {
    if (peers.send(peer, answer) || System.nanoTime() - endNanos >= 0) {
      forwardedInFlight.decrementAndGet();
    } else {
      timer.after(ANSWER_RETRY_DELAY_MS, () -> sendAnswer(peer, answer, endNanos));
    }
  }

  /** Handles the answer of a peer to a forwarded request. */
  void onForwardAnswer(String peer, ForwardAnswer answer, Settings settings) {
    Attempt attempt = inFlight.get(answer.correlationId());
    boolean isAnswered = attempt != null && peer.equals(attempt.peer);
    if (isAnswered && inFlight.remove(answer.correlationId(), attempt)) {
      handleAnswer(attempt, peer, answer, settings);
    }
  }

  /** Delivers an answer, or tries the next home if {@code instance} is not a home of the group. */
  private void handleAnswer(
      Attempt attempt, String instance, ForwardAnswer answer, Settings settings) {
    if (answer.code() == ResultCode.NO_HOME.number()) {
      attempt.failedInstances.add(instance);
      tryNextHome(attempt, settings);
    } else {
      attempt.complete(answer);
    }
  }

  /** Sends the requests in flight at a peer whose link broke to another home. */
  void onLinkClosed(String peer, Settings settings) {
    inFlight.forEach(
        (id, attempt) -> {
          if (peer.equals(attempt.peer) && inFlight.remove(id, attempt)) {
            attempt.failedInstances.add(peer);
            attempt.mayHaveTakenEffect |= attempt.request.op() != HomeOp.READ;
            tryNextHome(attempt, settings);
          }
        });
  }

  /** Returns whether requests forwarded by peers are in flight here. */
  boolean hasForwardedRequests() {
    return forwardedInFlight.get() > 0;
  }

  private void dispatch(Attempt attempt, Settings settings) {
    Group group = settings.groups().get(attempt.request.group());
    if (group == null) {
      attempt.complete(Refusal.of(ResultCode.NO_HOME, RETRY_AFTER_MS));
      return;
    }
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(attempt.deadlineNanos - System.nanoTime());
    if (remainingMs <= 0) {
      expire(attempt);
      return;
    }
    ForwardRequest request = withDeadline(attempt.request, remainingMs);
    for (String candidate : candidates(attempt, settings, group)) {
      if (candidate.equals(self)) {
        attempt.peer = self;
        attempt.sent = true;
        home.serve(request, answer -> handleAnswer(attempt, self, answer, settings));
        return;
      }
      if (send(candidate, request, attempt)) {
        return;
      }
    }
    if (attempt.request.op() == HomeOp.COMMIT && !attempt.mayHaveTakenEffect) {
      // The home that holds the transaction is unreachable; another can determine its outcome.
      attempt.mayHaveTakenEffect = true;
    }
    retryLater(attempt, settings);
  }

  private boolean send(String peer, ForwardRequest request, Attempt attempt) {
    long id = correlationIds.incrementAndGet();
    final boolean sentBefore = attempt.sent;
    attempt.peer = peer;
    attempt.sent = true;
    inFlight.put(id, attempt);
    if (peers.send(peer, withIdAndDeadline(request, id, request.deadlineMs()))) {
      return true;
    }
    inFlight.remove(id);
    attempt.sent = sentBefore;
    return false;
  }

  private void tryNextHome(Attempt attempt, Settings settings) {
    if (attempt.request.transactionId() != null) {
      if (attempt.request.op() != HomeOp.COMMIT) {
        attempt.complete(Refusal.of(ResultCode.TRANSACTION_LOST, RETRY_AFTER_MS));
        return;
      }
      // Another home can determine the outcome of the commit.
      attempt.mayHaveTakenEffect = true;
    }
    dispatch(attempt, settings);
  }

  private void retryLater(Attempt attempt, Settings settings) {
    attempt.failedInstances.clear();
    timer.after(RETRY_DELAY_MS, () -> dispatch(attempt, settings));
  }

  private List<String> candidates(Attempt attempt, Settings settings, Group group) {
    List<String> ranked = new ArrayList<>();
    String id = attempt.request.transactionId();
    if (id != null && !attempt.mayHaveTakenEffect) {
      ranked.add(TransactionId.instance(id));
      return ranked;
    }
    int first = settings.firstSlot(failureDomain);
    int end = first < 0 ? -1 : first + settings.slots().get(failureDomain);
    for (int slot : homeTableFor(settings).slotsOf(group)) {
      String holder = slotHolders.get(slot);
      if (holder != null && !attempt.failedInstances.contains(holder)) {
        boolean inOwnDomain = slot >= first && slot < end;
        ranked.add(inOwnDomain || holder.equals(self) ? 0 : ranked.size(), holder);
      }
    }
    return ranked;
  }

  private HomeTable homeTableFor(Settings settings) {
    HomeTable current = homeTable;
    if (current == null || current.settings() != settings) {
      current = new HomeTable(settings);
      homeTable = current;
    }
    return current;
  }

  private void expire(Attempt attempt) {
    inFlight.values().remove(attempt);
    boolean unknown =
        (attempt.sent || attempt.mayHaveTakenEffect)
            && (attempt.request.op() == HomeOp.WRITE || attempt.request.op() == HomeOp.COMMIT);
    attempt.complete(
        Refusal.of(unknown ? ResultCode.OUTCOME_UNKNOWN : ResultCode.NO_HOME, RETRY_AFTER_MS));
  }

  private static ForwardRequest withDeadline(ForwardRequest request, long deadlineMs) {
    return withIdAndDeadline(request, request.correlationId(), deadlineMs);
  }

  private static ForwardRequest withIdAndDeadline(
      ForwardRequest request, long id, long deadlineMs) {
    return new ForwardRequest(
        id,
        request.organisation(),
        request.group(),
        request.op(),
        request.sql(),
        request.params(),
        request.sessionPosition(),
        request.maxAgeMs(),
        deadlineMs,
        request.requestId(),
        request.transactionId());
  }

  private static ForwardAnswer withCorrelationId(ForwardAnswer answer, long id) {
    return new ForwardAnswer(
        id,
        answer.code(),
        answer.columns(),
        answer.rows(),
        answer.updateCount(),
        answer.position(),
        answer.target(),
        answer.targetRole(),
        answer.servedAt(),
        answer.ageMs(),
        answer.retryAfterMs(),
        answer.transactionId(),
        answer.duplicate(),
        answer.message());
  }
}
