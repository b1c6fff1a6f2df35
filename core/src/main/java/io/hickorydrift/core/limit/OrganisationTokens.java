package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.List;

/**
 * The tokens of one organisation at one instance: a bucket for each of its two leased shares and
 * grants received from peers.
 *
 * <p>Invariant: over all instances, buckets never exceed (1 - reserve) of the burst and outstanding
 * grants never exceed the reserve; each token is deducted at the granting instance before it is
 * credited at the receiving one. So in any window at most rate times window plus burst is admitted.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class OrganisationTokens {
  private static final double TOKENS_PER_REQUEST = 1.0;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DEMAND_SMOOTHING = 0.3;
  private static final double ROUNDING_TOLERANCE = 1e-6;
  private static final long DEMAND_WINDOW_NANOS = 50_000_000L;

  private final LimitSettings settings;
  private final TokenBucket longLeaseBucket;
  private final TokenBucket shortLeaseBucket;
  private final OutstandingGrants outstanding = new OutstandingGrants();
  private final ReceivedGrants received = new ReceivedGrants();
  private RateLimit limit;
  private SlotShare share = SlotShare.NONE;
  private long nextGrantId = 1;
  private double demandPerSecond;
  private long windowStartNanos;
  private int windowRequests;

  /** Creates an instance without tokens or a share. */
  public OrganisationTokens(LimitSettings settings, RateLimit limit, long nowNanos) {
    this.settings = settings;
    this.limit = limit;
    longLeaseBucket = new TokenBucket(0, 0, nowNanos);
    shortLeaseBucket = new TokenBucket(0, 0, nowNanos);
    windowStartNanos = nowNanos;
  }

  /** Returns the organisation's limit. */
  public RateLimit limit() {
    return limit;
  }

  /** Changes the limit or the share; both take effect at once. */
  public void update(RateLimit newLimit, SlotShare newShare, long nowNanos) {
    drainExpired(nowNanos);
    limit = newLimit;
    share = newShare;
    resize(longLeaseBucket, share.longLease(), nowNanos);
    resize(shortLeaseBucket, share.shortLease(), nowNanos);
  }

  /** Takes one token if there is one. Tokens of leases expired at {@code nowNanos} do not count. */
  public boolean tryTake(long nowNanos) {
    if (level(nowNanos) < TOKENS_PER_REQUEST - ROUNDING_TOLERANCE) {
      return false;
    }
    double missing = TOKENS_PER_REQUEST - received.take(TOKENS_PER_REQUEST, nowNanos);
    missing -= shortLeaseBucket.take(missing, nowNanos);
    longLeaseBucket.take(missing, nowNanos);
    return true;
  }

  /** Counts the arrival of a request, whether or not it is admitted. */
  public void recordRequest(long nowNanos) {
    updateDemand(nowNanos);
    windowRequests++;
  }

  /** Returns the recent arrival rate of requests, smoothed. */
  public double demandPerSecond(long nowNanos) {
    updateDemand(nowNanos);
    return demandPerSecond;
  }

  /** Returns the number of tokens usable at this instance at {@code nowNanos}. */
  public double level(long nowNanos) {
    drainExpired(nowNanos);
    return received.level(nowNanos) + bucketLevel(nowNanos);
  }

  /** Returns the number of tokens to request from peers. */
  public double shortage(int queued, long nowNanos) {
    double demand =
        Math.min(demandPerSecond(nowNanos), limit.ratePerSecond())
            * settings.demandHorizonNanos()
            / NANOS_PER_SECOND;
    double refill =
        limit.ratePerSecond()
            * share.usableFraction(nowNanos)
            * settings.demandHorizonNanos()
            / NANOS_PER_SECOND;
    double wanted = queued + Math.max(0, demand - refill) - level(nowNanos);
    return Math.max(0, Math.min(wanted, limit.burst()));
  }

  /** Answers a token request of a peer and deducts the granted tokens. */
  public GrantAnswer grant(GrantRequest request, int queued, long nowNanos) {
    request.usedGrants().forEach(outstanding::remove);
    double reservedForOwnDemand =
        queued
            + Math.min(demandPerSecond(nowNanos), limit.ratePerSecond())
                * settings.demandHorizonNanos()
                / NANOS_PER_SECOND
                / 2;
    double spare = Math.max(0, bucketLevel(nowNanos) - reservedForOwnDemand);
    double grantLimit = Math.max(0, reserve(nowNanos) - outstanding.outstandingTokens(nowNanos));
    double tokens = Math.min(Math.min(request.tokens(), spare), grantLimit);
    long grantId = nextGrantId++;
    if (tokens > 0) {
      double fromShortLease = shortLeaseBucket.take(tokens, nowNanos);
      longLeaseBucket.take(tokens - fromShortLease, nowNanos);
      long expiryNanos = nowNanos + settings.grantValidityNanos() + settings.driftMarginNanos();
      outstanding.add(grantId, tokens, expiryNanos);
    }
    return new GrantAnswer(
        request.correlationId(), request.organisation(), grantId, Math.max(0, tokens));
  }

  /** Credits a grant that was requested at {@code requestedNanos}. */
  public void credit(String granter, GrantAnswer answer, long requestedNanos) {
    if (answer.tokens() > 0) {
      received.add(
          granter,
          answer.grantId(),
          answer.tokens(),
          requestedNanos + settings.grantValidityNanos());
    }
  }

  /** Returns the used-up grants of {@code granter} that have not been reported to it yet. */
  public List<Long> drainUsedGrants(String granter) {
    return received.drainUsedGrants(granter);
  }

  /** Returns the tokens granted to peers that the peers may still use. */
  double outstandingTokens(long nowNanos) {
    return outstanding.outstandingTokens(nowNanos);
  }

  private double bucketLevel(long nowNanos) {
    drainExpired(nowNanos);
    return longLeaseBucket.level(nowNanos) + shortLeaseBucket.level(nowNanos);
  }

  private double reserve(long nowNanos) {
    return settings.reserveFraction() * limit.burst() * share.usableFraction(nowNanos);
  }

  private void resize(TokenBucket bucket, LeasedFraction lease, long nowNanos) {
    double fraction = lease.usableFraction(nowNanos);
    bucket.resize(
        limit.ratePerSecond() * fraction,
        limit.burst() * (1 - settings.reserveFraction()) * fraction,
        nowNanos);
  }

  private void drainExpired(long nowNanos) {
    if (share.longLease().usableFraction(nowNanos) == 0) {
      longLeaseBucket.drain(nowNanos);
    }
    if (share.shortLease().usableFraction(nowNanos) == 0) {
      shortLeaseBucket.drain(nowNanos);
    }
  }

  private void updateDemand(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos < DEMAND_WINDOW_NANOS) {
      return;
    }
    double windowRate = windowRequests * NANOS_PER_SECOND / elapsedNanos;
    demandPerSecond += DEMAND_SMOOTHING * (windowRate - demandPerSecond);
    windowStartNanos = nowNanos;
    windowRequests = 0;
  }
}
