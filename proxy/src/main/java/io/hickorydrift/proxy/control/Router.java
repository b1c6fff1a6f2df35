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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Takes requests from the entry to a home of their group: this instance if it is one, else a peer,
 * in the own failure domain first. If the link to a home breaks, reads and writes go to the next
 * home; writes keep their request id, so that they take effect once.
 *
 * <p>Invariant: each request is answered once. Thread safety: safe.
 */
public final class Router {
  private static final long GRACE_MS = 100;
  private static final long RETRY_PAUSE_MS = 50;
  private static final long RETRY_AFTER_MS = 200;

  private final String self;
  private final String failureDomain;
  private final HomeService home;
  private final PeerNetwork peers;
  private final TimerService timer;
  private final Map<Long, Attempt> underWay = new ConcurrentHashMap<>();
  private final AtomicLong correlationIds = new AtomicLong();
  private final AtomicLong serving = new AtomicLong();
  private volatile HomeTable homes;
  private volatile Map<Integer, String> slotHolders = Map.of();

  private final class Attempt {
    private final ForwardRequest request;
    private final Consumer<ForwardAnswer> reply;
    private final long deadlineNanos;
    private final AtomicBoolean answered = new AtomicBoolean();
    private volatile String peer;
    private volatile boolean mayHaveRun;
    private final List<String> failed = new CopyOnWriteArrayList<>();

    private Attempt(ForwardRequest request, Consumer<ForwardAnswer> reply, long deadlineNanos) {
      this.request = request;
      this.reply = reply;
      this.deadlineNanos = deadlineNanos;
    }

    private void answer(ForwardAnswer answer) {
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

  /** Tells which live instances hold slots, this one included. */
  void setSlotHolders(Map<Integer, String> holders) {
    slotHolders = Map.copyOf(holders);
  }

  /** Routes a request; {@code reply} is called once, on any thread. */
  public void route(ForwardRequest request, Settings settings, Consumer<ForwardAnswer> reply) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMs());
    Attempt attempt = new Attempt(request, reply, deadlineNanos);
    timer.after(request.deadlineMs() + GRACE_MS, () -> giveUp(attempt));
    attempt(attempt, settings);
  }

  /** A peer asks this home. */
  void onForwardRequest(String peer, ForwardRequest request) {
    serving.incrementAndGet();
    home.serve(
        request,
        answer -> {
          serving.decrementAndGet();
          peers.send(peer, correlated(answer, request.correlationId()));
        });
  }

  /** A peer answers. */
  void onForwardAnswer(String peer, ForwardAnswer answer, Settings settings) {
    Attempt attempt = underWay.remove(answer.correlationId());
    if (attempt != null) {
      taken(attempt, peer, answer, settings);
    }
  }

  /** Passes an answer on, unless the instance turned out not to be a home; then tries the next. */
  private void taken(Attempt attempt, String by, ForwardAnswer answer, Settings settings) {
    if (answer.code() == ResultCode.NO_HOME.number()) {
      attempt.failed.add(by);
      next(attempt, settings);
    } else {
      attempt.answer(answer);
    }
  }

  /** The link to a peer broke: what was under way there goes to another home. */
  void onLinkClosed(String peer, Settings settings) {
    underWay.forEach(
        (id, attempt) -> {
          if (peer.equals(attempt.peer) && underWay.remove(id, attempt)) {
            attempt.failed.add(peer);
            attempt.mayHaveRun |= attempt.request.op() != HomeOp.READ;
            next(attempt, settings);
          }
        });
  }

  /** Returns whether requests of other instances are served here. */
  boolean hasForwardedRequests() {
    return serving.get() > 0;
  }

  private void attempt(Attempt attempt, Settings settings) {
    Group group = settings.groups().get(attempt.request.group());
    if (group == null) {
      attempt.answer(Refusal.of(ResultCode.NO_HOME, RETRY_AFTER_MS));
      return;
    }
    long leftMs = TimeUnit.NANOSECONDS.toMillis(attempt.deadlineNanos - System.nanoTime());
    if (leftMs <= 0) {
      giveUp(attempt);
      return;
    }
    ForwardRequest request = withDeadline(attempt.request, leftMs);
    for (String candidate : candidates(attempt, settings, group)) {
      if (candidate.equals(self)) {
        attempt.peer = self;
        home.serve(request, answer -> taken(attempt, self, answer, settings));
        return;
      }
      if (send(candidate, request, attempt)) {
        return;
      }
    }
    if (attempt.request.op() == HomeOp.COMMIT && !attempt.mayHaveRun) {
      // The home that holds the transaction is out of reach; another can settle what became of it.
      attempt.mayHaveRun = true;
    }
    retryLater(attempt, settings);
  }

  private boolean send(String peer, ForwardRequest request, Attempt attempt) {
    long id = correlationIds.incrementAndGet();
    attempt.peer = peer;
    underWay.put(id, attempt);
    if (peers.send(peer, numbered(request, id, request.deadlineMs()))) {
      return true;
    }
    underWay.remove(id);
    return false;
  }

  private void next(Attempt attempt, Settings settings) {
    if (attempt.request.transactionId() != null) {
      if (attempt.request.op() != HomeOp.COMMIT) {
        attempt.answer(Refusal.of(ResultCode.TRANSACTION_LOST, RETRY_AFTER_MS));
        return;
      }
      // Another home can settle what became of the commit.
      attempt.mayHaveRun = true;
    }
    attempt(attempt, settings);
  }

  private void retryLater(Attempt attempt, Settings settings) {
    attempt.failed.clear();
    timer.after(RETRY_PAUSE_MS, () -> attempt(attempt, settings));
  }

  private List<String> candidates(Attempt attempt, Settings settings, Group group) {
    List<String> ranked = new ArrayList<>();
    String id = attempt.request.transactionId();
    if (id != null && !attempt.mayHaveRun) {
      ranked.add(TransactionId.instance(id));
      return ranked;
    }
    int first = settings.firstSlot(failureDomain);
    int end = first < 0 ? -1 : first + settings.slots().get(failureDomain);
    for (int slot : homesUnder(settings).slotsOf(group)) {
      String holder = slotHolders.get(slot);
      if (holder != null && !attempt.failed.contains(holder)) {
        boolean near = slot >= first && slot < end;
        ranked.add(near || holder.equals(self) ? 0 : ranked.size(), holder);
      }
    }
    return ranked;
  }

  private HomeTable homesUnder(Settings settings) {
    HomeTable current = homes;
    if (current == null || current.settings() != settings) {
      current = new HomeTable(settings);
      homes = current;
    }
    return current;
  }

  private void giveUp(Attempt attempt) {
    underWay.values().remove(attempt);
    boolean sent = attempt.peer != null && attempt.request.op() != HomeOp.READ;
    boolean unknown =
        (sent || attempt.mayHaveRun)
            && (attempt.request.op() == HomeOp.WRITE || attempt.request.op() == HomeOp.COMMIT);
    attempt.answer(
        Refusal.of(unknown ? ResultCode.OUTCOME_UNKNOWN : ResultCode.NO_HOME, RETRY_AFTER_MS));
  }

  private static ForwardRequest withDeadline(ForwardRequest request, long deadlineMs) {
    return numbered(request, request.correlationId(), deadlineMs);
  }

  private static ForwardRequest numbered(ForwardRequest request, long id, long deadlineMs) {
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

  private static ForwardAnswer correlated(ForwardAnswer answer, long id) {
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
