package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.limit.AllowanceAction;
import io.hickorydrift.core.limit.AllowanceLedger;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.core.limit.RateLimit;
import io.hickorydrift.core.limit.SharePart;
import io.hickorydrift.core.limit.SlotShare;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Operations of each organisation against this instance's share of its rate, and tokens given and
 * taken between instances. The share is this instance's part of the fleet for as long as it can
 * show that it belongs to it.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RateLimits {
  private static final long MS = 1_000_000L;
  private static final LimitSettings SETTINGS =
      new LimitSettings(0.25, 1_500 * MS, 50 * MS, 300 * MS, 35 * MS, 10 * MS, 6);

  /** Learns whether an operation may run. */
  interface Listener {
    void admitted();

    /** It may not; {@code retryAfterMs} tells when to come back. */
    void refused(long retryAfterMs);
  }

  private final EventLoop loop;
  private final Declarations declarations;
  private final Fleet fleet;
  private final Peers peers;
  private final AllowanceLedger ledger = new AllowanceLedger(SETTINGS);
  private final Map<Long, Listener> waiting = new HashMap<>();
  private long nextTicket = 1;
  private boolean hasShare;
  private long limitsVersion = Long.MIN_VALUE;

  RateLimits(EventLoop loop, Declarations declarations, Fleet fleet, Peers peers) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
  }

  /** Asks for one operation's token. */
  void request(String organisation, Listener listener) {
    refresh();
    long ticket = nextTicket++;
    waiting.put(ticket, listener);
    carryOut(ledger.request(organisation, ticket, loop.nowNanos()));
  }

  /** A peer asks for tokens. */
  void asked(PeerServer server, GrantRequest request) {
    refresh();
    for (AllowanceAction action : ledger.asked(server.peer(), request, loop.nowNanos())) {
      if (action instanceof AllowanceAction.Grant grant) {
        server.answer(new PeerMessage.GiveTokens(grant.answer()));
      }
    }
  }

  /** A peer gave tokens. */
  void given(String peer, GrantAnswer answer) {
    carryOut(ledger.granted(peer, answer, loop.nowNanos()));
  }

  /** Returns whether this instance has a part of the limits. */
  boolean hasShare() {
    return hasShare;
  }

  void tick(long nowNanos) {
    refresh();
    ledger.setPeers(peers.up().stream().map(PeerLink::peer).toList());
    double fraction = fleet.belongs() ? 1.0 / fleet.size() : 0;
    long validNanos = TimeUnit.MILLISECONDS.toNanos(declarations.proofLeftMs());
    ledger.setShare(
        new SlotShare(SharePart.NONE, new SharePart(fraction, nowNanos + validNanos)), nowNanos);
    carryOut(ledger.tick(nowNanos));
    hasShare = fraction > 0;
  }

  private void refresh() {
    if (limitsVersion == declarations.current().version()) {
      return;
    }
    limitsVersion = declarations.current().version();
    Map<String, RateLimit> limits = new HashMap<>();
    declarations
        .current()
        .organisations()
        .values()
        .forEach(organisation -> limits.put(organisation.name(), organisation.limit()));
    ledger.setLimits(limits, loop.nowNanos());
  }

  private void carryOut(List<AllowanceAction> actions) {
    for (AllowanceAction action : actions) {
      if (action instanceof AllowanceAction.Admit admit) {
        waiting.remove(admit.ticket()).admitted();
      } else if (action instanceof AllowanceAction.Refuse refuse) {
        waiting.remove(refuse.ticket()).refused(refuse.retryAfterMs());
      } else if (action instanceof AllowanceAction.Ask ask) {
        peers.ask(ask.peer(), ask.request());
      }
    }
  }
}
