package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.List;

/**
 * The tokens of one organisation at one instance: its share's two buckets and grants from peers.
 *
 * <p>Invariant: over all instances, buckets never exceed (1 - reserve) of the burst and grants
 * under way never exceed the reserve; each token is deducted where it was before it is credited
 * elsewhere. So in any window no more than rate times window plus burst is admitted.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class OrganisationTokens {
  private static final double COST = 1.0;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DEMAND_SMOOTHING = 0.3;
  private static final double ROUNDING = 1e-6;
  private static final long DEMAND_WINDOW_NANOS = 50_000_000L;

  private final LimitSettings settings;
  private final TokenBucket longBucket;
  private final TokenBucket shortBucket;
  private final OutstandingGrants given = new OutstandingGrants();
  private final ReceivedGrants received = new ReceivedGrants();
  private RateLimit limit;
  private SlotShare share = SlotShare.NONE;
  private long nextGrantId = 1;
  private double demandPerSecond;
  private long windowStartNanos;
  private int windowCount;

  /** Starts empty at {@code nowNanos}. */
  public OrganisationTokens(LimitSettings settings, RateLimit limit, long nowNanos) {
    this.settings = settings;
    this.limit = limit;
    longBucket = new TokenBucket(0, 0, nowNanos);
    shortBucket = new TokenBucket(0, 0, nowNanos);
    windowStartNanos = nowNanos;
  }

  /** Returns the organisation's limit. */
  public RateLimit limit() {
    return limit;
  }

  /** Changes the limit or the share; both take effect at once. */
  public void update(RateLimit newLimit, SlotShare newShare, long nowNanos) {
    lapse(nowNanos);
    limit = newLimit;
    share = newShare;
    resize(longBucket, share.longLease(), nowNanos);
    resize(shortBucket, share.shortLease(), nowNanos);
  }

  /** Takes one token if there is one. Checks the leases against {@code nowNanos} first. */
  public boolean tryTake(long nowNanos) {
    if (level(nowNanos) < COST - ROUNDING) {
      return false;
    }
    double missing = COST - received.take(COST, nowNanos);
    missing -= shortBucket.take(missing, nowNanos);
    longBucket.take(missing, nowNanos);
    return true;
  }

  /** Notes that a request arrived, whether or not it is admitted. */
  public void recordRequest(long nowNanos) {
    rollWindow(nowNanos);
    windowCount++;
  }

  /** Returns the requests a second that arrived lately. */
  public double demandPerSecond(long nowNanos) {
    rollWindow(nowNanos);
    return demandPerSecond;
  }

  /** Returns the tokens usable here at {@code nowNanos}. */
  public double level(long nowNanos) {
    lapse(nowNanos);
    return received.level(nowNanos) + own(nowNanos);
  }

  /** Returns how many tokens this instance would ask its peers for. */
  public double shortage(int waiting, long nowNanos) {
    double demand =
        Math.min(demandPerSecond(nowNanos), limit.ratePerSecond())
            * settings.demandHorizonNanos()
            / NANOS_PER_SECOND;
    double inflow =
        limit.ratePerSecond()
            * share.usableFraction(nowNanos)
            * settings.demandHorizonNanos()
            / NANOS_PER_SECOND;
    double wanted = waiting + Math.max(0, demand - inflow) - level(nowNanos);
    return Math.max(0, Math.min(wanted, limit.burst()));
  }

  /** Answers a peer that asks for tokens: deducts what it grants. */
  public GrantAnswer grant(GrantRequest request, int waiting, long nowNanos) {
    request.usedGrants().forEach(given::remove);
    double keep =
        waiting
            + Math.min(demandPerSecond(nowNanos), limit.ratePerSecond())
                * settings.demandHorizonNanos()
                / NANOS_PER_SECOND
                / 2;
    double spare = Math.max(0, own(nowNanos) - keep);
    double room = Math.max(0, reserve(nowNanos) - given.outstandingTokens(nowNanos));
    double tokens = Math.min(Math.min(request.tokens(), spare), room);
    long grantId = nextGrantId++;
    if (tokens > 0) {
      double fromShort = shortBucket.take(tokens, nowNanos);
      longBucket.take(tokens - fromShort, nowNanos);
      long untilNanos = nowNanos + settings.grantValidityNanos() + settings.driftMarginNanos();
      given.add(grantId, tokens, untilNanos);
    }
    return new GrantAnswer(
        request.correlationId(), request.organisation(), grantId, Math.max(0, tokens));
  }

  /** Credits a grant that was asked for at {@code askedNanos}. */
  public void credit(String giver, GrantAnswer answer, long askedNanos) {
    if (answer.tokens() > 0) {
      received.add(
          giver, answer.grantId(), answer.tokens(), askedNanos + settings.grantValidityNanos());
    }
  }

  /** Returns the grants of {@code giver} that are used up, to be told once. */
  public List<Long> drainUsedGrants(String giver) {
    return received.drainUsedGrants(giver);
  }

  /** Returns the tokens given to peers that may still be in use there. */
  double outstandingTokens(long nowNanos) {
    return given.outstandingTokens(nowNanos);
  }

  private double own(long nowNanos) {
    lapse(nowNanos);
    return longBucket.level(nowNanos) + shortBucket.level(nowNanos);
  }

  private double reserve(long nowNanos) {
    return settings.reserveFraction() * limit.burst() * share.usableFraction(nowNanos);
  }

  private void resize(TokenBucket bucket, LeasedFraction part, long nowNanos) {
    double fraction = part.usableFraction(nowNanos);
    bucket.resize(
        limit.ratePerSecond() * fraction,
        limit.burst() * (1 - settings.reserveFraction()) * fraction,
        nowNanos);
  }

  private void lapse(long nowNanos) {
    if (share.longLease().usableFraction(nowNanos) == 0) {
      longBucket.drain(nowNanos);
    }
    if (share.shortLease().usableFraction(nowNanos) == 0) {
      shortBucket.drain(nowNanos);
    }
  }

  private void rollWindow(long nowNanos) {
    long passedNanos = nowNanos - windowStartNanos;
    if (passedNanos < DEMAND_WINDOW_NANOS) {
      return;
    }
    double latest = windowCount * NANOS_PER_SECOND / passedNanos;
    demandPerSecond += DEMAND_SMOOTHING * (latest - demandPerSecond);
    windowStartNanos = nowNanos;
    windowCount = 0;
  }
}
