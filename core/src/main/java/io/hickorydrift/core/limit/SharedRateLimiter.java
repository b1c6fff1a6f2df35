package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits operations against the rates of all organisations at one instance. Each rate is split
 * between a few holders, each with a token bucket for its part. An instance without a token queues
 * the operation for a bounded time and requests tokens from one holder at a time.
 *
 * <p>Invariant: a token is taken out of a bucket before it is used, and is used within its
 * validity, which starts with the request for it. The capacity of a bucket is the holder's part of
 * the burst less the tokens that the rate adds in that time ({@link RateLimit}). So in any window
 * at most rate times window plus burst is admitted over all instances.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SharedRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  // Base of the exponential backoff between rounds of token requests. A round over all holders
  // takes a few milliseconds; empty buckets refill only at their rate, so that an immediate retry
  // would fail.
  private static final long ROUND_BACKOFF_NANOS = 8_000_000L;
  private static final int MAX_BACKOFF_STEPS = 4;
  // Longer than the longest pause between rounds, so that holders that answer are known to.
  private static final long RECENT_ANSWER_NANOS = 250_000_000L;
  // A token that is valid for less than a round trip would expire before its arrival.
  private static final long MIN_USEFUL_VALIDITY_NANOS = 5_000_000L;
  private static final double DEMAND_SMOOTHING = 0.3;
  private static final long DEMAND_WINDOW_NANOS = 100_000_000L;
  private static final double ROUNDING_TOLERANCE = 1e-6;
  private static final long MIN_RETRY_AFTER_MS = 20;

  private record QueuedOperation(long ticket, long deadlineNanos) {}

  private record PendingTokenRequest(String organisation, long sentNanos) {}

  private static final class OrganisationState {
    private final TokenBucket bucket;
    private final ExpiringTokens borrowed = new ExpiringTokens();
    private final ArrayDeque<QueuedOperation> queue = new ArrayDeque<>();
    private RateLimit limit;
    private List<String> holders = List.of();
    private int nextHolder;
    private int requestsInRound;
    private boolean requestInFlight;
    private long requestSentNanos;
    private long nextRoundNanos;
    private int backoffSteps;
    private double part;
    private boolean holderAnswered;
    private long lastAnswerNanos;
    private double demandPerSecond;
    private int arrivals;
    private long windowStartNanos;

    private OrganisationState(RateLimit limit, long nowNanos) {
      this.limit = limit;
      bucket = new TokenBucket(0, 0, nowNanos);
      nextRoundNanos = nowNanos;
      windowStartNanos = nowNanos;
    }
  }

  private final GrantTiming timing;
  private final Map<String, OrganisationState> organisations = new HashMap<>();
  private final Map<Long, PendingTokenRequest> pendingRequests = new HashMap<>();
  private long nextCorrelationId = 1;

  /** Creates a limiter without limits. */
  public SharedRateLimiter(GrantTiming timing) {
    this.timing = timing;
  }

  /** Sets the limits of all organisations and removes organisations that are not included. */
  public void setLimits(Map<String, RateLimit> limits, long nowNanos) {
    organisations.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) ->
            organisations.computeIfAbsent(
                        organisation, key -> new OrganisationState(limit, nowNanos))
                    .limit =
                limit);
  }

  /**
   * Sets the holders of an organisation's rate.
   *
   * @param reachable the reachable holders, without this instance
   * @param part this instance's part of the rate, 0 if it is not a holder
   */
  public void setHolders(String organisation, List<String> reachable, double part, long nowNanos) {
    OrganisationState state = organisations.get(organisation);
    if (state == null) {
      return;
    }
    state.holders = reachable;
    state.part = part;
    double rate = state.limit.ratePerSecond();
    state.bucket.resize(rate * part, state.limit.bucketCapacity(timing) * part, nowNanos);
  }

  /** Discards all tokens and pending token requests, as after a clock pause of unknown length. */
  public void discardTokens(long nowNanos) {
    pendingRequests.clear();
    for (OrganisationState state : organisations.values()) {
      state.bucket.drain(nowNanos);
      state.borrowed.discardAll();
      state.requestInFlight = false;
    }
  }

  /** Admits, queues or rejects an operation of {@code organisation}. */
  public List<RateLimitAction> acquire(String organisation, long ticket, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>(1);
    OrganisationState state = organisations.get(organisation);
    if (state == null) {
      actions.add(new RateLimitAction.Refuse(ticket, MIN_RETRY_AFTER_MS));
      return actions;
    }
    state.arrivals++;
    if (state.queue.isEmpty() && tryTake(state, nowNanos)) {
      actions.add(new RateLimitAction.Admit(ticket));
    } else if (state.holders.isEmpty() && state.bucket.level(nowNanos) <= 0) {
      actions.add(refuse(state, ticket, nowNanos));
    } else {
      state.queue.addLast(new QueuedOperation(ticket, nowNanos + timing.maxQueueWaitNanos()));
    }
    sendTokenRequest(organisation, state, nowNanos, actions);
    return actions;
  }

  /** Processes queued operations, token requests and demand at {@code nowNanos}. */
  public List<RateLimitAction> tick(long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    // Tokens in a later answer have expired.
    pendingRequests
        .values()
        .removeIf(request -> nowNanos - request.sentNanos > timing.maxTokenValidityNanos());
    organisations.forEach(
        (organisation, state) -> {
          updateDemand(state, nowNanos);
          serveQueue(state, nowNanos, actions);
          sendTokenRequest(organisation, state, nowNanos, actions);
        });
    return actions;
  }

  /** Answers a peer's token request; only whole tokens are granted. */
  public GrantAnswer onTokenRequest(GrantRequest request, long nowNanos) {
    OrganisationState state = organisations.get(request.organisation());
    double granted = 0;
    if (state != null) {
      double spare = state.bucket.level(nowNanos) + ROUNDING_TOLERANCE - state.queue.size();
      granted = Math.max(0, Math.floor(Math.min(request.tokens(), spare)));
      state.bucket.take(granted, nowNanos);
    }
    return new GrantAnswer(request.correlationId(), request.organisation(), 0, granted);
  }

  /** Handles a holder's answer to a token request. */
  public List<RateLimitAction> onGrantAnswer(GrantAnswer answer, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    PendingTokenRequest pending = pendingRequests.remove(answer.correlationId());
    OrganisationState state = pending == null ? null : organisations.get(pending.organisation);
    if (state == null) {
      return actions;
    }
    state.requestInFlight = false;
    state.holderAnswered = true;
    state.lastAnswerNanos = nowNanos;
    if (answer.tokens() > 0) {
      long validityNanos = state.limit.tokenValidityNanos(timing);
      state.borrowed.add(answer.tokens(), pending.sentNanos + validityNanos);
      state.backoffSteps = 0;
      state.requestsInRound = timing.nearestFirst() ? 0 : state.requestsInRound;
    }
    serveQueue(state, nowNanos, actions);
    sendTokenRequest(pending.organisation, state, nowNanos, actions);
    return actions;
  }

  /** Returns the number of tokens of {@code organisation} usable at this instance. */
  public double level(String organisation, long nowNanos) {
    OrganisationState state = organisations.get(organisation);
    return state == null ? 0 : state.bucket.level(nowNanos) + state.borrowed.level(nowNanos);
  }

  private static boolean tryTake(OrganisationState state, long nowNanos) {
    if (state.borrowed.level(nowNanos) >= 1 - ROUNDING_TOLERANCE) {
      state.borrowed.takeOne();
      return true;
    }
    if (state.bucket.level(nowNanos) >= 1 - ROUNDING_TOLERANCE) {
      state.bucket.take(1, nowNanos);
      return true;
    }
    return false;
  }

  private void serveQueue(OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    while (!state.queue.isEmpty()) {
      QueuedOperation first = state.queue.peekFirst();
      if (tryTake(state, nowNanos)) {
        actions.add(new RateLimitAction.Admit(first.ticket));
      } else if (first.deadlineNanos - nowNanos <= 0) {
        actions.add(refuse(state, first.ticket, nowNanos));
      } else {
        return;
      }
      state.queue.removeFirst();
    }
  }

  private void sendTokenRequest(
      String organisation, OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    if (state.requestInFlight && nowNanos - state.requestSentNanos > timing.answerTimeoutNanos()) {
      state.requestInFlight = false;
    }
    double tokens = tokensToRequest(state, nowNanos);
    boolean useful = state.limit.tokenValidityNanos(timing) >= MIN_USEFUL_VALIDITY_NANOS;
    if (state.requestInFlight || state.holders.isEmpty() || tokens < 1 || !useful) {
      return;
    }
    if (state.requestsInRound >= state.holders.size()) {
      state.requestsInRound = 0;
      state.nextRoundNanos = nowNanos + (ROUND_BACKOFF_NANOS << state.backoffSteps);
      state.backoffSteps = Math.min(state.backoffSteps + 1, MAX_BACKOFF_STEPS);
    }
    if (state.requestsInRound == 0 && state.nextRoundNanos - nowNanos > 0) {
      return;
    }
    int next = timing.nearestFirst() ? state.requestsInRound : state.nextHolder++;
    final String holder = state.holders.get(next % state.holders.size());
    state.requestsInRound++;
    state.requestInFlight = true;
    state.requestSentNanos = nowNanos;
    long correlationId = nextCorrelationId++;
    pendingRequests.put(correlationId, new PendingTokenRequest(organisation, nowNanos));
    actions.add(
        new RateLimitAction.RequestTokens(
            holder, new GrantRequest(correlationId, organisation, Math.floor(tokens), List.of())));
  }

  /**
   * Returns the number of queued operations plus the demand expected within the horizon, less the
   * tokens available at this instance.
   */
  private double tokensToRequest(OrganisationState state, long nowNanos) {
    if (state.queue.isEmpty() && state.demandPerSecond * timing.demandHorizonSeconds() < 1) {
      return 0;
    }
    // Only whole tokens count, because a fraction of a token admits no operation.
    double available =
        Math.floor(state.borrowed.level(nowNanos) + ROUNDING_TOLERANCE)
            + Math.floor(state.bucket.level(nowNanos) + ROUNDING_TOLERANCE);
    return state.queue.size() + state.demandPerSecond * timing.demandHorizonSeconds() - available;
  }

  private static void updateDemand(OrganisationState state, long nowNanos) {
    long elapsedNanos = nowNanos - state.windowStartNanos;
    if (elapsedNanos < DEMAND_WINDOW_NANOS) {
      return;
    }
    double windowRate = state.arrivals * NANOS_PER_SECOND / elapsedNanos;
    state.demandPerSecond += DEMAND_SMOOTHING * (windowRate - state.demandPerSecond);
    state.arrivals = 0;
    state.windowStartNanos = nowNanos;
  }

  private static RateLimitAction refuse(OrganisationState state, long ticket, long nowNanos) {
    boolean answered =
        state.holderAnswered && nowNanos - state.lastAnswerNanos <= RECENT_ANSWER_NANOS;
    RateLimitAction.Cause cause =
        state.part > 0 || answered
            ? RateLimitAction.Cause.RATE_EXCEEDED
            : RateLimitAction.Cause.NO_HOLDER_REACHED;
    return new RateLimitAction.Refuse(ticket, retryAfterMs(state), cause);
  }

  private static long retryAfterMs(OrganisationState state) {
    double queued = state.queue.size() + 1;
    double rate = Math.max(state.limit.ratePerSecond(), 0.001);
    return Math.max(MIN_RETRY_AFTER_MS, (long) (1_000 * queued / rate));
  }
}
