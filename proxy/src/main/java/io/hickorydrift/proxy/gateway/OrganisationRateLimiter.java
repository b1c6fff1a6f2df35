package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.limit.GrantTiming;
import io.hickorydrift.core.limit.RateHolders;
import io.hickorydrift.core.limit.RateLimit;
import io.hickorydrift.core.limit.RateLimitAction;
import io.hickorydrift.core.limit.SharedRateLimiter;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Limits the rate of operations of each organisation. This instance's shares of rates are valid
 * only while its fleet entry exists and its declaration is confirmed to be current; peers rely on
 * that when they take the shares over.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OrganisationRateLimiter {
  private static final long TICK_MS = 10;

  /** Receives the decision on an operation. */
  interface Listener {
    void admitted();

    /** Reports that the operation is refused, and when it may be retried. */
    void refused(String reason);
  }

  private final EventLoop loop;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Peers peers;
  private final HomeRouter homes;
  private final String self;
  private final Regions regions;
  private final Metrics metrics;
  private final GrantTiming timing;
  private final SharedRateLimiter sharedLimiter;
  private final Map<Long, Listener> listeners = new HashMap<>();
  private final Map<String, List<String>> holders = new HashMap<>();
  private long nextTicket = 1;
  private long declarationVersion = Long.MIN_VALUE;
  private long homesChangeCount = -1;
  private boolean hasShare;
  private final StartHold hold;
  // Organisations with a holder that this instance reaches.
  private final Set<String> withReachableHolder = new HashSet<>();

  OrganisationRateLimiter(
      EventLoop loop,
      Declarations declarations,
      FleetMembership fleet,
      Peers peers,
      HomeRouter homes,
      String self,
      Regions regions,
      Metrics metrics,
      StartHold hold) {
    this.hold = hold;
    this.regions = regions;
    this.metrics = metrics;
    timing = regions.isMultiRegion() ? GrantTiming.ACROSS_REGIONS : GrantTiming.WITHIN_REGION;
    sharedLimiter = new SharedRateLimiter(timing);
    this.homes = homes;
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
    this.self = self;
    loop.clock().onClockPause(() -> sharedLimiter.discardTokens(loop.nowNanos()));
  }

  void start() {
    loop.every(TICK_MS, () -> apply(sharedLimiter.tick(loop.nowNanos())));
  }

  /**
   * Requests a token for one operation of {@code organisation} on a route of {@code priority}, 0
   * being the highest. Callers without a key have no rate: their share of the connections to a
   * target bounds them ({@link TargetPool}).
   */
  void request(String organisation, int priority, Listener listener) {
    hold.run(() -> isDecidable(organisation), () -> requestToken(organisation, priority, listener));
  }

  /**
   * Returns whether the rate of {@code organisation} is known, and tokens can come from it. This is
   * not so while an instance starts, whose buckets are empty.
   */
  private boolean isDecidable(String organisation) {
    refresh();
    return organisation.equals(AdmissionDecision.NO_ORGANISATION)
        || withReachableHolder.contains(organisation)
        || sharedLimiter.level(organisation, loop.nowNanos()) > 0;
  }

  private void requestToken(String organisation, int priority, Listener listener) {
    refresh();
    if (!hold.isLoaded()) {
      listener.refused(StartHold.NOT_LOADED);
      return;
    }
    if (organisation.equals(AdmissionDecision.NO_ORGANISATION)) {
      listener.admitted();
      return;
    }
    if (!holders.containsKey(organisation)) {
      listener.refused("organisation not known at this instance yet; retry in 500 ms");
      return;
    }
    long ticket = nextTicket++;
    listeners.put(ticket, listener);
    apply(sharedLimiter.acquire(organisation, ticket, priority, loop.nowNanos()));
  }

  /** Answers a peer's request for tokens. */
  void onTokenRequest(InboundPeerLink link, PeerMessage.TokenRequest request) {
    refresh();
    link.send(
        new PeerMessage.TokenResponse(
            sharedLimiter.onTokenRequest(
                request.request(), request.urgentTokens(), loop.nowNanos())));
  }

  /** Handles a peer's answer to a request for tokens. */
  void onTokenResponse(GrantAnswer answer) {
    apply(sharedLimiter.onGrantAnswer(answer, loop.nowNanos()));
  }

  /** Returns whether this instance may hold shares of rates. */
  boolean hasShare() {
    return hasShare;
  }

  /** Updates the reachable rate holders and this instance's shares. */
  void tick() {
    refresh();
    hasShare = fleet.isMember() && declarations.keysConfirmedCurrent();
    withReachableHolder.clear();
    for (DeclaredOrganisation organisation : declarations.current().organisations().values()) {
      List<String> allHolders = holders.getOrDefault(organisation.name(), List.of());
      List<String> reachable = new ArrayList<>();
      for (String holder : allHolders) {
        OutboundPeerLink link = peers.link(holder);
        if (link != null && link.isUp()) {
          reachable.add(holder);
        }
      }
      if (!reachable.isEmpty()) {
        withReachableHolder.add(organisation.name());
      }
      if (regions.isMultiRegion()) {
        reachable.sort(Comparator.comparingInt(holder -> isInOwnRegion(holder) ? 0 : 1));
      }
      double share = hasShare && allHolders.contains(self) ? 1.0 / allHolders.size() : 0;
      sharedLimiter.setHolders(organisation.name(), reachable, share, loop.nowNanos());
    }
  }

  private void refresh() {
    boolean unchanged =
        declarationVersion == declarations.current().version()
            && homesChangeCount == homes.changeCount();
    if (unchanged) {
      return;
    }
    declarationVersion = declarations.current().version();
    homesChangeCount = homes.changeCount();
    Map<String, RateLimit> rates = new HashMap<>();
    holders.clear();
    for (DeclaredOrganisation organisation : declarations.current().organisations().values()) {
      rates.put(organisation.name(), organisation.limit());
      holders.put(organisation.name(), selectHolders(organisation));
    }
    sharedLimiter.setLimits(rates, loop.nowNanos());
    tick();
  }

  private List<String> selectHolders(DeclaredOrganisation organisation) {
    Set<String> candidates = homes.rateHolderCandidates();
    String name = organisation.name();
    return regions.isMultiRegion()
        ? RateHolders.inEachRegion(name, organisation.limit(), timing, candidates, this::regionOf)
        : RateHolders.of(name, organisation.limit(), timing, candidates);
  }

  private String regionOf(String instance) {
    return regions.regionOf(fleet.failureDomainOf(instance));
  }

  private boolean isInOwnRegion(String instance) {
    return regionOf(instance).equals(regionOf(self));
  }

  private static String reason(RateLimitAction.Cause cause) {
    return switch (cause) {
      case NO_HOLDER_REACHED -> "no holder of the rate reached";
      case TURN_CANNOT_COME -> "rate limit exceeded, too many operations wait";
      case RATE_EXCEEDED -> "rate limit exceeded";
    };
  }

  private void apply(List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit admit) {
        listeners.remove(admit.ticket()).admitted();
      } else if (action instanceof RateLimitAction.Refuse refuse) {
        metrics.recordRateRefusal(refuse.cause().name().toLowerCase(Locale.ROOT));
        listeners
            .remove(refuse.ticket())
            .refused(reason(refuse.cause()) + "; retry in " + refuse.retryAfterMs() + " ms");
      } else if (action instanceof RateLimitAction.RequestTokens tokens) {
        peers.requestTokens(tokens);
      }
    }
  }
}
