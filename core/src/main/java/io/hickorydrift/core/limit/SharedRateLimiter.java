package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits operations against the rates of all organisations at one instance. Each rate is split
 * between a few holders, each with a token bucket for its part. An instance without a token queues
 * the operation for a bounded time and requests tokens from one holder at a time.
 *
 * <p>Tokens go to urgent operations (priority 0) first, and to the others in order of arrival.
 * While an organisation has urgent operations, one whose turn cannot come before its wait ends is
 * refused at once, and refused callers are told delays that spread their return over the tokens to
 * come. Without urgent operations the order is that of arrival.
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
  private static final double MIN_RATE_PER_SECOND = 0.001;
  private static final int URGENT_PRIORITY = 0;
  // Urgent operations that find a token leave the queue at once, so that their presence in it says
  // little about the load; callers that were refused return within seconds.
  private static final long URGENT_MEMORY_NANOS = 5_000_000_000L;

  // A round of token requests over all holders takes a few tens of milliseconds. Reserved tokens
  // that the peer has got elsewhere in the meantime must not be kept from the other operations.
  private static final long RESERVED_NANOS = 120_000_000L;

  private record PendingTokenRequest(String organisation, long sentNanos, double tokens) {}

  private static final class OrganisationState {
    private final TokenBucket bucket;
    private final ExpiringTokens borrowed = new ExpiringTokens();
    private final TokenQueue queue = new TokenQueue();
    private final ReturnSchedule returns = new ReturnSchedule();
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
    private boolean hadUrgent;
    private long lastUrgentNanos;
    private int admissions;
    private double admittedPerSecond;
    private int shortAnswersInRow;
    private int urgentArrivals;
    private double urgentDemandPerSecond;
    // Tokens of the bucket that urgent operations of other instances lacked and request again.
    private final ExpiringTokens reserved = new ExpiringTokens();

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

  /**
   * Admits, queues or rejects an operation of {@code organisation}.
   *
   * @param priority priority of the operation's route; 0 is the highest, and its operations are
   *     served before those of the others
   */
  public List<RateLimitAction> acquire(
      String organisation, long ticket, int priority, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>(1);
    OrganisationState state = organisations.get(organisation);
    if (state == null) {
      actions.add(new RateLimitAction.Refuse(ticket, MIN_RETRY_AFTER_MS));
      return actions;
    }
    state.arrivals++;
    boolean urgent = priority == URGENT_PRIORITY;
    if (urgent) {
      state.hadUrgent = true;
      state.lastUrgentNanos = nowNanos;
      state.urgentArrivals++;
    }
    if (state.queue.countBefore(urgent) == 0 && tryTake(state, urgent, nowNanos)) {
      actions.add(new RateLimitAction.Admit(ticket));
    } else if (state.holders.isEmpty() && state.bucket.level(nowNanos) <= 0) {
      actions.add(refuse(state, ticket, urgent, nowNanos));
    } else {
      long deadlineNanos = nowNanos + timing.maxQueueWaitNanos();
      state.queue.add(new TokenQueue.Entry(ticket, urgent, deadlineNanos));
      if (hasUrgentWork(state, nowNanos)) {
        serveQueue(state, nowNanos, actions);
        refuseHopeless(state, nowNanos, actions);
      }
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

  /**
   * Answers a peer's token request; only whole tokens are granted. Tokens for urgent operations
   * come before this instance's other operations. What is missing for them is reserved until the
   * peer has asked the other holders and asks again, with an equal part at each holder.
   *
   * @param urgentTokens how many of the tokens are for urgent operations
   */
  public GrantAnswer onTokenRequest(GrantRequest request, double urgentTokens, long nowNanos) {
    OrganisationState state = organisations.get(request.organisation());
    double granted = 0;
    if (state != null) {
      double level = state.bucket.level(nowNanos) + ROUNDING_TOLERANCE;
      double urgent = urgentTokens > 0 ? Math.min(request.tokens(), urgentTokens) : 0;
      double urgentSpare = level - state.queue.countBefore(true);
      final double urgentGranted = Math.max(0, Math.floor(Math.min(urgent, urgentSpare)));
      state.reserved.take(urgentGranted);
      double otherSpare =
          level - urgentGranted - state.queue.size() - state.reserved.level(nowNanos);
      double otherGranted =
          Math.max(0, Math.floor(Math.min(request.tokens() - urgent, otherSpare)));
      if (urgentGranted < urgent) {
        double part = (urgent - urgentGranted) / Math.max(1, state.holders.size());
        state.reserved.add(part, nowNanos + RESERVED_NANOS);
      }
      granted = urgentGranted + otherGranted;
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
    boolean isShort = answer.tokens() < pending.tokens;
    state.shortAnswersInRow = isShort ? state.shortAnswersInRow + 1 : 0;
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

  private static boolean tryTake(OrganisationState state, boolean urgent, long nowNanos) {
    if (state.borrowed.level(nowNanos) >= 1 - ROUNDING_TOLERANCE) {
      state.borrowed.takeOne();
      state.admissions++;
      return true;
    }
    double reserved = urgent ? 0 : state.reserved.level(nowNanos);
    if (state.bucket.level(nowNanos) - reserved >= 1 - ROUNDING_TOLERANCE) {
      state.bucket.take(1, nowNanos);
      state.admissions++;
      return true;
    }
    return false;
  }

  private void serveQueue(OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    while (!state.queue.isEmpty() && tryTake(state, state.queue.countBefore(true) > 0, nowNanos)) {
      actions.add(new RateLimitAction.Admit(state.queue.pollFirst().ticket()));
    }
    TokenQueue.Entry expired = state.queue.firstExpired(nowNanos);
    while (expired != null) {
      actions.add(refuse(state, expired.ticket(), expired.urgent(), nowNanos));
      state.queue.removeExpired(expired);
      expired = state.queue.firstExpired(nowNanos);
    }
  }

  /** Refuses the operations whose turn cannot come, because too many are before them. */
  private static void refuseHopeless(
      OrganisationState state, long nowNanos, List<RateLimitAction> actions) {
    if (!isExhausted(state, nowNanos)) {
      return;
    }
    double perSecond = expectedTokensPerSecond(state);
    TokenQueue.Entry hopeless = state.queue.pollHopeless(perSecond, nowNanos);
    while (hopeless != null) {
      long retryAfterMs = retryAfterMs(state, hopeless.urgent(), nowNanos);
      actions.add(
          new RateLimitAction.Refuse(
              hopeless.ticket(), retryAfterMs, RateLimitAction.Cause.TURN_CANNOT_COME));
      hopeless = state.queue.pollHopeless(perSecond, nowNanos);
    }
  }

  private static boolean hasUrgentWork(OrganisationState state, long nowNanos) {
    return state.hadUrgent && nowNanos - state.lastUrgentNanos <= URGENT_MEMORY_NANOS;
  }

  /**
   * Returns whether all holders have no more tokens than the rate adds: in the last round each
   * granted less than was requested. Until then they may grant up to the burst at once.
   */
  private static boolean isExhausted(OrganisationState state, long nowNanos) {
    return state.holders.isEmpty()
        || state.shortAnswersInRow >= state.holders.size()
            && nowNanos - state.lastAnswerNanos <= RECENT_ANSWER_NANOS;
  }

  /**
   * Returns the tokens that this instance is expected to get while the rate is used up: as many as
   * lately, or an equal part if all holders compete for them.
   */
  private static double expectedTokensPerSecond(OrganisationState state) {
    double rate = Math.max(state.limit.ratePerSecond(), MIN_RATE_PER_SECOND);
    double equalPart = rate / (state.holders.size() + 1);
    return Math.min(rate, Math.max(equalPart, state.admittedPerSecond));
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
    double wanted = Math.floor(tokens);
    pendingRequests.put(correlationId, new PendingTokenRequest(organisation, nowNanos, wanted));
    actions.add(
        new RateLimitAction.RequestTokens(
            holder,
            new GrantRequest(correlationId, organisation, wanted, List.of()),
            Math.min(wanted, urgentTokensToRequest(state, nowNanos))));
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

  /** Returns how many of the requested tokens are for urgent operations. */
  private double urgentTokensToRequest(OrganisationState state, long nowNanos) {
    double expected = state.urgentDemandPerSecond * timing.demandHorizonSeconds();
    double available = Math.floor(state.borrowed.level(nowNanos) + ROUNDING_TOLERANCE);
    return Math.max(0, Math.floor(state.queue.countBefore(true) + expected - available));
  }

  private static void updateDemand(OrganisationState state, long nowNanos) {
    long elapsedNanos = nowNanos - state.windowStartNanos;
    if (elapsedNanos < DEMAND_WINDOW_NANOS) {
      return;
    }
    double windowRate = state.arrivals * NANOS_PER_SECOND / elapsedNanos;
    state.demandPerSecond += DEMAND_SMOOTHING * (windowRate - state.demandPerSecond);
    state.arrivals = 0;
    double urgentRate = state.urgentArrivals * NANOS_PER_SECOND / elapsedNanos;
    state.urgentDemandPerSecond += DEMAND_SMOOTHING * (urgentRate - state.urgentDemandPerSecond);
    state.urgentArrivals = 0;
    double admittedRate = state.admissions * NANOS_PER_SECOND / elapsedNanos;
    state.admittedPerSecond += DEMAND_SMOOTHING * (admittedRate - state.admittedPerSecond);
    state.admissions = 0;
    state.windowStartNanos = nowNanos;
  }

  private static RateLimitAction refuse(
      OrganisationState state, long ticket, boolean urgent, long nowNanos) {
    boolean answered =
        state.holderAnswered && nowNanos - state.lastAnswerNanos <= RECENT_ANSWER_NANOS;
    RateLimitAction.Cause cause =
        state.part > 0 || answered
            ? RateLimitAction.Cause.RATE_EXCEEDED
            : RateLimitAction.Cause.NO_HOLDER_REACHED;
    return new RateLimitAction.Refuse(ticket, retryAfterMs(state, urgent, nowNanos), cause);
  }

  private static long retryAfterMs(OrganisationState state, boolean urgent, long nowNanos) {
    if (hasUrgentWork(state, nowNanos)) {
      int queued = state.queue.countBefore(urgent);
      return state.returns.nextMs(urgent, queued, expectedTokensPerSecond(state), nowNanos);
    }
    double queued = state.queue.size() + 1;
    double rate = Math.max(state.limit.ratePerSecond(), MIN_RATE_PER_SECOND);
    return Math.max(MIN_RETRY_AFTER_MS, (long) (1_000 * queued / rate));
  }
}
