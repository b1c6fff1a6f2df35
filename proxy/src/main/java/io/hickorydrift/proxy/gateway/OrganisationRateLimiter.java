package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.limit.RateHolders;
import io.hickorydrift.core.limit.RateLimit;
import io.hickorydrift.core.limit.RateLimitAction;
import io.hickorydrift.core.limit.SharedRateLimiter;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Operations of each organisation against its rate. This instance's parts of rates are good only
 * while its entry stands and it can show that what it knows is current; others count on that when
 * they take them over.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class OrganisationRateLimiter {
  private static final long TICK_MS = 10;

  /** Learns whether an operation may run. */
  interface Listener {
    void admitted();

    /** It may not; {@code retryAfterMs} tells when to come back. */
    void refused(long retryAfterMs);
  }

  private final EventLoop loop;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Peers peers;
  private final HomeRouter homes;
  private final String self;
  private final SharedRateLimiter limits = new SharedRateLimiter();
  private final Map<Long, Listener> waiting = new HashMap<>();
  private final Map<String, List<String>> holders = new HashMap<>();
  private long nextTicket = 1;
  private long version = Long.MIN_VALUE;
  private long fleetChanges = -1;
  private boolean hasShare;

  OrganisationRateLimiter(
      EventLoop loop,
      Declarations declarations,
      FleetMembership fleet,
      Peers peers,
      HomeRouter homes,
      String self) {
    this.homes = homes;
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
    this.self = self;
    loop.clock().onClockPause(() -> limits.discardTokens(loop.nowNanos()));
  }

  void start() {
    loop.every(TICK_MS, () -> carryOut(limits.tick(loop.nowNanos())));
  }

  /** Asks for one operation's token. */
  void request(String organisation, Listener listener) {
    refresh();
    long ticket = nextTicket++;
    waiting.put(ticket, listener);
    carryOut(limits.acquire(organisation, ticket, loop.nowNanos()));
  }

  /** A peer asks for tokens. */
  void onTokenRequest(InboundPeerLink server, GrantRequest request) {
    refresh();
    server.send(new PeerMessage.TokenResponse(limits.onTokenRequest(request, loop.nowNanos())));
  }

  /** A peer gave tokens. */
  void onTokenResponse(GrantAnswer answer) {
    carryOut(limits.onGrantAnswer(answer, loop.nowNanos()));
  }

  /** Returns whether this instance counts as part of the fleet. */
  boolean hasShare() {
    return hasShare;
  }

  /** Looks again at who holds what and can be reached. */
  void tick() {
    refresh();
    hasShare = fleet.isMember() && declarations.keysConfirmedCurrent();
    for (DeclaredOrganisation organisation : declarations.current().organisations().values()) {
      List<String> all = holders.getOrDefault(organisation.name(), List.of());
      List<String> reachable = new ArrayList<>();
      for (String holder : all) {
        OutboundPeerLink link = peers.link(holder);
        if (link != null && link.isUp()) {
          reachable.add(holder);
        }
      }
      double part = hasShare && all.contains(self) ? 1.0 / all.size() : 0;
      limits.setHolders(organisation.name(), reachable, part, loop.nowNanos());
    }
  }

  private void refresh() {
    boolean same =
        version == declarations.current().version() && fleetChanges == fleet.changeCount();
    if (same) {
      return;
    }
    version = declarations.current().version();
    fleetChanges = fleet.changeCount();
    Map<String, RateLimit> all = new HashMap<>();
    holders.clear();
    for (DeclaredOrganisation organisation : declarations.current().organisations().values()) {
      all.put(organisation.name(), organisation.limit());
      holders.put(
          organisation.name(),
          RateHolders.of(organisation.name(), organisation.limit(), homes.rateHolderCandidates()));
    }
    limits.setLimits(all, loop.nowNanos());
    tick();
  }

  private void carryOut(List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit admit) {
        waiting.remove(admit.ticket()).admitted();
      } else if (action instanceof RateLimitAction.Refuse refuse) {
        waiting.remove(refuse.ticket()).refused(refuse.retryAfterMs());
      } else if (action instanceof RateLimitAction.RequestTokens ask) {
        peers.requestTokens(ask.peer(), ask.request());
      }
    }
  }
}
