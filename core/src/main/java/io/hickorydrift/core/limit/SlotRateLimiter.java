package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Admits requests against the rates of all organisations at one instance. The instance may use the
 * fraction of each rate that its slot's leases cover. A request without a token is queued for a
 * short bounded time while tokens are requested from peers, and is rejected at once if the queue is
 * too long for it to be admitted in that time.
 *
 * <p>An instance without a share knows from the answers of its peers only whether a rate is used
 * up. While none has answered, a request is queued longer, for the validity of a grant at most: a
 * fleet that has just started or is short of processor time answers later than the usual wait.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SlotRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MIN_RETRY_AFTER_MS = 10;
  private static final double MIN_SHORTAGE = 0.05;

  private record QueuedRequest(long ticket, long queuedNanos) {}

  private record PendingTokenRequest(String peer, String organisation, long sentNanos) {}

  private static final class OrganisationState {
    private final OrganisationTokens tokens;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private long nextRoundNanos = Long.MIN_VALUE;
    private int nextPeer;
    private boolean peerAnswered;
    private long lastAnswerNanos;

    private OrganisationState(OrganisationTokens tokens) {
      this.tokens = tokens;
    }
  }

  private final LimitSettings settings;
  private final Map<String, OrganisationState> organisations = new HashMap<>();
  private final Map<Long, PendingTokenRequest> pendingRequests = new HashMap<>();
  private List<String> peers = List.of();
  private SlotShare share = SlotShare.NONE;
  // A peer may answer a request of the process before, over a link of its own.
  private long nextCorrelationId = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE / 2);

  /** Creates a limiter without organisations, peers or a share. */
  public SlotRateLimiter(LimitSettings settings) {
    this.settings = settings;
  }

  /** Sets the live peers, from which tokens may be requested. */
  public void setPeers(List<String> livePeers) {
    peers = List.copyOf(livePeers);
  }

  /** Sets the limits of all organisations and removes organisations that are not included. */
  public void setLimits(Map<String, RateLimit> limits, long nowNanos) {
    organisations.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) -> {
          OrganisationState state =
              organisations.computeIfAbsent(
                  organisation,
                  name -> new OrganisationState(new OrganisationTokens(settings, limit, nowNanos)));
          state.tokens.update(limit, share, nowNanos);
        });
  }

  /** Sets this instance's share of all limits. */
  public void setShare(SlotShare newShare, long nowNanos) {
    share = newShare;
    for (OrganisationState state : organisations.values()) {
      state.tokens.update(state.tokens.limit(), share, nowNanos);
    }
  }

  /** Admits, queues or rejects a request of {@code organisation}. */
  public List<RateLimitAction> acquire(String organisation, long ticket, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    OrganisationState state = organisations.get(organisation);
    if (state == null) {
      actions.add(
          new RateLimitAction.Refuse(
              ticket, MIN_RETRY_AFTER_MS, RateLimitAction.Cause.NO_HOLDER_REACHED));
      return actions;
    }
    state.tokens.recordRequest(nowNanos);
    if (state.queue.isEmpty() && state.tokens.tryTake(nowNanos)) {
      actions.add(new RateLimitAction.Admit(ticket));
    } else if (state.queue.size() >= maxQueueLength(state)) {
      actions.add(refuse(state, ticket, state.queue.peekFirst().queuedNanos, nowNanos));
    } else {
      state.queue.addLast(new QueuedRequest(ticket, nowNanos));
    }
    sendTokenRequests(organisation, state, nowNanos, actions);
    return actions;
  }

  /** Processes queued requests and token requests at {@code nowNanos}. */
  public List<RateLimitAction> tick(long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    pendingRequests
        .values()
        .removeIf(pending -> nowNanos - pending.sentNanos > settings.grantValidityNanos());
    organisations.forEach(
        (organisation, state) -> {
          serveQueue(state, nowNanos, actions);
          rejectExpired(state, nowNanos, actions);
          sendTokenRequests(organisation, state, nowNanos, actions);
        });
    return actions;
  }

  /** Answers a peer's token request. */
  public List<RateLimitAction> onTokenRequest(String peer, GrantRequest request, long nowNanos) {
    OrganisationState state = organisations.get(request.organisation());
    GrantAnswer answer =
        state == null
            ? new GrantAnswer(request.correlationId(), request.organisation(), 0, 0)
            : state.tokens.grant(request, state.queue.size(), nowNanos);
    return List.of(new RateLimitAction.Grant(peer, answer));
  }

  /** Handles a peer's answer to a token request. */
  public List<RateLimitAction> onGrantAnswer(String peer, GrantAnswer answer, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    PendingTokenRequest pending = pendingRequests.remove(answer.correlationId());
    if (pending == null || !pending.peer.equals(peer)) {
      return actions;
    }
    OrganisationState state = organisations.get(pending.organisation);
    if (state != null) {
      state.peerAnswered = true;
      state.lastAnswerNanos = nowNanos;
      state.tokens.credit(peer, answer, pending.sentNanos);
      serveQueue(state, nowNanos, actions);
      sendTokenRequests(pending.organisation, state, nowNanos, actions);
    }
    return actions;
  }

  /** Returns the number of tokens of {@code organisation} usable at this instance. */
  public double level(String organisation, long nowNanos) {
    OrganisationState state = organisations.get(organisation);
    return state == null ? 0 : state.tokens.level(nowNanos);
  }

  private void serveQueue(OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    while (!state.queue.isEmpty() && state.tokens.tryTake(nowNanos)) {
      actions.add(new RateLimitAction.Admit(state.queue.removeFirst().ticket));
    }
  }

  private void rejectExpired(
      OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    for (Iterator<QueuedRequest> iterator = state.queue.iterator(); iterator.hasNext(); ) {
      QueuedRequest queued = iterator.next();
      long maxWaitNanos =
          isRateKnown(state, queued.queuedNanos, nowNanos)
              ? settings.maxWaitNanos()
              : settings.grantValidityNanos();
      if (nowNanos - queued.queuedNanos >= maxWaitNanos) {
        iterator.remove();
        actions.add(refuse(state, queued.ticket, queued.queuedNanos, nowNanos));
      }
    }
  }

  private RateLimitAction refuse(
      OrganisationState state, long ticket, long queuedNanos, long nowNanos) {
    RateLimitAction.Cause cause =
        isRateKnown(state, queuedNanos, nowNanos)
            ? RateLimitAction.Cause.RATE_EXCEEDED
            : RateLimitAction.Cause.NO_HOLDER_REACHED;
    return new RateLimitAction.Refuse(ticket, retryAfterMs(state), cause);
  }

  /**
   * Returns whether this instance can tell that the rate is used up: it has a share of its own, or
   * a peer has answered since {@code sinceNanos}.
   */
  private boolean isRateKnown(OrganisationState state, long sinceNanos, long nowNanos) {
    return share.usableFraction(nowNanos) > 0
        || state.peerAnswered && state.lastAnswerNanos - sinceNanos >= 0;
  }

  private void sendTokenRequests(
      String organisation, OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    boolean tooSoon = state.nextRoundNanos != Long.MIN_VALUE && nowNanos - state.nextRoundNanos < 0;
    if (tooSoon || peers.isEmpty()) {
      return;
    }
    double shortage = state.tokens.shortage(state.queue.size(), nowNanos);
    if (shortage < MIN_SHORTAGE) {
      return;
    }
    state.nextRoundNanos = nowNanos + settings.requestIntervalNanos();
    int fanOut = Math.min(settings.fanOut(), peers.size());
    for (int i = 0; i < fanOut; i++) {
      String peer = peers.get(Math.floorMod(state.nextPeer++, peers.size()));
      long correlationId = nextCorrelationId++;
      pendingRequests.put(correlationId, new PendingTokenRequest(peer, organisation, nowNanos));
      actions.add(
          new RateLimitAction.RequestTokens(
              peer,
              new GrantRequest(
                  correlationId,
                  organisation,
                  shortage / fanOut,
                  state.tokens.drainUsedGrants(peer))));
    }
  }

  private double maxQueueLength(OrganisationState state) {
    return 1 + state.tokens.limit().ratePerSecond() * settings.maxWaitNanos() / NANOS_PER_SECOND;
  }

  private long retryAfterMs(OrganisationState state) {
    double queued = state.queue.size() + 1;
    double rate = Math.max(state.tokens.limit().ratePerSecond(), 0.001);
    return Math.max(MIN_RETRY_AFTER_MS, (long) (1000 * queued / rate));
  }
}
