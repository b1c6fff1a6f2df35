package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.limit.RateLimit;
import io.hickorydrift.core.limit.TokenBucket;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.Map;

/**
 * Operations of each organisation against this instance's share of its rate.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RateLimits {
  private final EventLoop loop;
  private final Declarations declarations;
  private final Fleet fleet;
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  RateLimits(EventLoop loop, Declarations declarations, Fleet fleet) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
  }

  /** Takes one operation's token; returns false if there is none. */
  boolean tryTake(String organisation) {
    DeclaredOrganisation declared = declarations.current().organisations().get(organisation);
    if (declared == null) {
      return true;
    }
    long nowNanos = loop.nowNanos();
    TokenBucket bucket =
        buckets.computeIfAbsent(organisation, key -> new TokenBucket(0, 0, nowNanos));
    RateLimit limit = declared.limit();
    bucket.resize(limit.ratePerSecond() / fleet.size(), limit.burst() / fleet.size(), nowNanos);
    if (bucket.level(nowNanos) < 1) {
      return false;
    }
    bucket.take(1, nowNanos);
    return true;
  }
}
